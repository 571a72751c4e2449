#pragma once

#include "core/exception_log.h"

namespace jackdawrack {

/// Runs one piece of periodic work. An exception is logged and does not keep
/// the caller from scheduling the next; `where` names the work.
template <typename Work>
void RunLogged(std::string_view where, const Work& work) {
  try {
    work();
  } catch (...) {
    LogException(where, std::current_exception());
  }
}

}  // namespace jackdawrack
