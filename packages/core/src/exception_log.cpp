#include "core/exception_log.h"

#include "core/event.h"

namespace jackdawrack {

void LogException(std::string_view where, const std::exception_ptr& failure) {
  try {
    std::rethrow_exception(failure);
  } catch (const std::exception& error) {
    LogEvent(EventId::kUnexpectedException, "where={} reason=\"{}\"", where,
             error.what());
  } catch (...) {
    LogEvent(EventId::kUnexpectedException, "where={} reason=\"unknown\"",
             where);
  }
}

}  // namespace jackdawrack
