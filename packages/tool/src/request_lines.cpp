#include "tool/request_lines.h"

#include <algorithm>
#include <fstream>

namespace jackdawrack {

std::vector<std::string> FindRequestLines(const std::vector<std::string>& paths,
                                          const std::string& request) {
  // The blank keeps an id from matching a longer one
  const std::string wanted = " request=" + request + " ";
  std::vector<std::string> lines;
  for (const std::string& path : paths) {
    std::ifstream stream(path);
    for (std::string line; std::getline(stream, line);) {
      if (line.find(wanted) != std::string::npos) {
        lines.push_back(line);
      }
    }
  }

  // Each line begins with its time, written so that texts sort by it
  std::stable_sort(lines.begin(), lines.end(),
                   [](const std::string& a, const std::string& b) {
                     return a.substr(0, a.find(' ')) < b.substr(0, b.find(' '));
                   });
  return lines;
}

}  // namespace jackdawrack
