#pragma once

#include <json/json.h>

#include <optional>

#include "policy/control_message.h"

namespace jackdawrack {

/// Converts `message` to JSON. Empty optional members and lists are omitted.
[[nodiscard]] Json::Value ControlToJson(const ControlMessage& message);

/// Converts JSON to a message. Returns nullopt if a member has the wrong type
/// or is out of range.
[[nodiscard]] std::optional<ControlMessage> ControlFromJson(
    const Json::Value& json);

}  // namespace jackdawrack
