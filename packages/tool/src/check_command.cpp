#include "tool/check_command.h"

#include <fmt/format.h>

#include <fstream>
#include <sstream>

#include "model/collection_map.h"
#include "model/contract.h"
#include "model/instance.h"
#include "model/instance_settings.h"

namespace jackdawrack {
namespace {

void CheckText(const std::string& path,
               const std::string& text,
               std::vector<IniProblem>& problems) {
  std::vector<IniProblem> syntax;
  const IniDocument document = IniDocument::Parse(path, text, syntax);
  if (!syntax.empty()) {
    problems = syntax;
    return;
  }
  if (!document.All("contract").empty()) {
    Contract::Parse(path, text, problems);
  } else if (!document.All("collection").empty()) {
    CollectionMap::Parse(path, text, problems);
  } else if (!document.All("listen").empty()) {
    InstanceSettings::Parse(path, text, problems);
  } else if (!document.All("instance").empty()) {
    (void)ParseInstanceList(path, text, problems);
  } else {
    problems.push_back(IniProblem{
        path, "", "",
        "accepted is a file with a section [contract], [collection], [listen] "
        "or [instance NAME]"});
  }
}

}  // namespace

std::size_t RunCheck(const std::vector<std::string>& paths) {
  std::size_t count = 0;
  for (const std::string& path : paths) {
    std::vector<IniProblem> problems;
    std::ifstream stream(path);
    if (stream) {
      std::ostringstream text;
      text << stream.rdbuf();
      CheckText(path, text.str(), problems);
    } else {
      problems.push_back(IniProblem{path, "", "", "cannot be read"});
    }
    fmt::print("{}",
               problems.empty() ? path + ": ok\n" : JoinProblems(problems));
    count += problems.size();
  }
  return count;
}

}  // namespace jackdawrack
