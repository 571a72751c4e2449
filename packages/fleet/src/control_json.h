#pragma once

#include <json/json.h>

#include <optional>

#include "policy/control_message.h"

namespace jackdawrack {

/// A message as JSON; members that are empty are left out.
[[nodiscard]] Json::Value ControlToJson(const ControlMessage& message);

/// The message, or nothing if a member is of another type or out of bounds.
[[nodiscard]] std::optional<ControlMessage> ControlFromJson(
    const Json::Value& json);

}  // namespace jackdawrack
