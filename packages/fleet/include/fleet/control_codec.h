#pragma once

#include <optional>
#include <string>

#include "policy/control_message.h"

namespace jackdawrack {

/// Name of the one method of the control protocol.
inline constexpr const char* kExchangeMethod = "exchange";

/// The JSON-RPC 2.0 request that carries a message.
///
/// Built with jsoncpp: the client side of libjsonrpccpp blocks a thread for
/// each call and does not compile as C++20; the server side does both well, see
/// `ControlServer`.
[[nodiscard]] std::string EncodeControlRequest(const ControlMessage& message);

/// The message in a JSON-RPC reply; nothing if the reply is an error, empty or
/// malformed.
[[nodiscard]] std::optional<ControlMessage> DecodeControlReply(
    const std::string& text);

}  // namespace jackdawrack
