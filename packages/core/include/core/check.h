#pragma once

#include <string_view>

namespace jackdawrack {

/// Reports a broken invariant as event 9001 and ends the process.
[[noreturn]] void FailCheck(std::string_view condition,
                            std::string_view file,
                            int line);

}  // namespace jackdawrack

/// Asserts an invariant in every build; the promises to callers rest on these.
#define JR_CHECK(condition)                                     \
  do {                                                          \
    if (!(condition)) {                                         \
      ::jackdawrack::FailCheck(#condition, __FILE__, __LINE__); \
    }                                                           \
  } while (false)
