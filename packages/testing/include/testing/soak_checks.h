#pragma once

#include <optional>
#include <string>

#include "net/http_message.h"

namespace jackdawrack {

/// Status codes that promise that a request has not run and never will.
[[nodiscard]] bool IsNotRunPromise(unsigned status);

/// What is wrong with an answer to the request with this id, given the services
/// and records of a `GatewayFleet`; nothing if it is right.
[[nodiscard]] std::optional<std::string> FindSoakAnswerFault(
    const HttpReply& reply,
    const std::string& id,
    bool is_scattered);

}  // namespace jackdawrack
