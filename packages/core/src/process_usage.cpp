#include "core/process_usage.h"

#include <sys/resource.h>

namespace jackdawrack {
namespace {

constexpr std::uint64_t kBytesPerUnit = 1024;

double Seconds(const timeval& time) {
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_usec) / 1e6;
}

}  // namespace

ProcessUsage ProcessUsage::Now() {
  rusage usage{};
  if (getrusage(RUSAGE_SELF, &usage) != 0) {
    return {};
  }
  return ProcessUsage{
      Seconds(usage.ru_utime) + Seconds(usage.ru_stime),
      static_cast<std::uint64_t>(usage.ru_maxrss) * kBytesPerUnit};
}

}  // namespace jackdawrack
