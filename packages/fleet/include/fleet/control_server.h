#pragma once

#include <functional>
#include <memory>
#include <string>

#include "policy/control_message.h"

namespace jackdawrack {

/// Server side of the control protocol: parses JSON-RPC requests with
/// libjsonrpccpp and passes them to a handler. Not thread-safe.
class ControlServer final {
 public:
  /// Computes the reply message for a request message.
  using Handler = std::function<ControlMessage(const ControlMessage&)>;

  ControlServer();
  ~ControlServer();

  ControlServer(const ControlServer&) = delete;
  ControlServer& operator=(const ControlServer&) = delete;

  /// Calls `handler` with the message in `request` and returns the serialized
  /// reply. A malformed request yields a JSON-RPC error or an empty string, and
  /// `handler` is not called.
  [[nodiscard]] std::string Handle(const std::string& request,
                                   const Handler& handler);

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace jackdawrack
