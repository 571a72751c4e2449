#pragma once

#include <optional>
#include <string>

#include "net/http_message.h"

namespace jackdawrack {

/// Checks a query's reply against what the upstream stand-ins put into rows
/// ("BEGIN-END@VERSION:BODY"): one version in all rows, the caller's own nonce
/// in all rows, and rows and missing ranges that tile the whole key space.
///
/// Returns what is wrong, or nothing. A reply without an answer (none came, or
/// it is an error) is not wrong.
[[nodiscard]] std::optional<std::string> FindAnswerFault(
    const HttpReply& reply,
    const std::string& nonce);

/// True if the reply is an answer that covers the whole key space.
[[nodiscard]] bool IsCompleteAnswer(const HttpReply& reply);

}  // namespace jackdawrack
