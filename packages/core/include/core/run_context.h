#pragma once

#include <boost/asio/io_context.hpp>

#include "core/exception_log.h"

namespace jackdawrack {

/// Runs the handlers of `context` until it is stopped or out of work. A handler
/// that throws is logged and does not keep the others from running.
inline void RunContext(boost::asio::io_context& context) {
  bool is_done = false;
  while (!is_done) {
    try {
      context.run();
      is_done = true;
    } catch (...) {
      LogException("handler", std::current_exception());
    }
  }
}

}  // namespace jackdawrack
