#pragma once

#include <optional>
#include <string>

#include "policy/control_message.h"

namespace jackdawrack {

/// The only JSON-RPC method of the control protocol.
inline constexpr const char* kExchangeMethod = "exchange";

/// Serializes `message` as a JSON-RPC 2.0 request.
///
/// Uses jsoncpp directly because the client side of libjsonrpccpp blocks a
/// thread per call and does not compile as C++20. The server side has neither
/// limitation and is used by `ControlServer`.
[[nodiscard]] std::string EncodeControlRequest(const ControlMessage& message);

/// Parses the message in a JSON-RPC reply. Returns nullopt if the reply is an
/// error, empty or malformed.
[[nodiscard]] std::optional<ControlMessage> DecodeControlReply(
    const std::string& text);

}  // namespace jackdawrack
