#pragma once

#include <exception>
#include <string_view>

namespace jackdawrack {

/// Logs an exception that ended one piece of work; `where` names the work.
void LogException(std::string_view where, const std::exception_ptr& failure);

/// Returns a completion handler for a coroutine that logs the exception with
/// which it ended, if any.
[[nodiscard]] inline auto LogFailure(std::string_view where) {
  return [where](const std::exception_ptr& failure) {
    if (failure) {
      LogException(where, failure);
    }
  };
}

}  // namespace jackdawrack
