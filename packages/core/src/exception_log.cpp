#include "core/exception_log.h"

#include <atomic>

#include "core/event.h"

namespace jackdawrack {
namespace {

std::atomic<std::uint64_t> g_logged{0};

}  // namespace

std::string DescribeException(const std::exception_ptr& failure) {
  try {
    std::rethrow_exception(failure);
  } catch (const std::exception& error) {
    return error.what();
  } catch (...) {
    return "unknown";
  }
}

void LogException(std::string_view where, const std::exception_ptr& failure) {
  ++g_logged;
  LogEvent(EventId::kUnexpectedException, "where={} reason=\"{}\"", where,
           DescribeException(failure));
}

std::uint64_t LoggedExceptions() {
  return g_logged;
}

}  // namespace jackdawrack
