#pragma once

#include <string>

#include "entry/caller_request.h"
#include "entry/entry_error.h"
#include "entry/entry_settings.h"
#include "net/http_message.h"
#include "peer/messages.h"
#include "query_answer.h"

namespace jackdawrack {

/// Decodes a query. Returns `EntryErrc::kBadRequest` with a message that names
/// the invalid member.
[[nodiscard]] EntryResult<CallerQuery> DecodeCallerQuery(
    const HttpRequest& request,
    const EntrySettings& settings);

/// Decodes a non-idempotent request. Returns `EntryErrc::kBadRequest` with a
/// message that names the invalid member or header.
[[nodiscard]] EntryResult<CallerRequest> DecodeCallerRequest(
    const HttpRequest& request,
    const EntrySettings& settings);

/// Encodes the reply to a query: status 200 if its coverage is sufficient,
/// otherwise 504.
[[nodiscard]] HttpReply EncodeQueryAnswer(const QueryAnswer& answer);

/// Encodes the reply to a non-idempotent request: status 200 if it ran,
/// otherwise 503.
[[nodiscard]] HttpReply EncodeRunAnswer(const RunAnswer& answer);

/// True if the header "Idempotency-Resend: true" says that the caller has sent
/// this key before. A refusal then does not prove that the key has not been
/// executed.
[[nodiscard]] bool IsResend(const HttpRequest& request);

/// Encodes the reply to a refused request. Its member "executed" is "unknown"
/// for a resend, otherwise "no".
[[nodiscard]] HttpReply EncodeError(const EntryError& error,
                                    bool is_resend = false);

}  // namespace jackdawrack
