#pragma once

#include <functional>
#include <memory>
#include <string>

#include "policy/control_message.h"

namespace jackdawrack {

/// Answers JSON-RPC requests of the control protocol by libjsonrpccpp. One
/// thread at a time may use it.
class ControlServer final {
 public:
  using Handler = std::function<ControlMessage(const ControlMessage&)>;

  ControlServer();
  ~ControlServer();

  ControlServer(const ControlServer&) = delete;
  ControlServer& operator=(const ControlServer&) = delete;

  /// The reply to `request`: the handler's answer, or a JSON-RPC error or
  /// an empty text if the request is malformed.
  [[nodiscard]] std::string Handle(const std::string& request,
                                   const Handler& handler);

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace jackdawrack
