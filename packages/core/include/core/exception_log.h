#pragma once

#include <cstdint>
#include <exception>
#include <string>
#include <string_view>

namespace jackdawrack {

/// What an exception says of itself.
[[nodiscard]] std::string DescribeException(const std::exception_ptr& failure);

/// Logs an exception that ended one piece of work; `where` names the work.
void LogException(std::string_view where, const std::exception_ptr& failure);

/// Exceptions logged so far.
[[nodiscard]] std::uint64_t LoggedExceptions();

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
