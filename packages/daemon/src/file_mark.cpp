#include "file_mark.h"

#include <sys/stat.h>

namespace jackdawrack {
namespace {

constexpr std::int64_t kNanosecondsPerSecond = 1'000'000'000;

}  // namespace

FileMark FileMark::Of(const std::string& path) {
  struct stat info {};
  if (stat(path.c_str(), &info) != 0) {
    return {};
  }
  return FileMark{
      info.st_mtim.tv_sec * kNanosecondsPerSecond + info.st_mtim.tv_nsec,
      info.st_size};
}

}  // namespace jackdawrack
