#pragma once

#include <string>

#include "entry/caller_request.h"
#include "entry/entry_error.h"
#include "entry/entry_settings.h"
#include "net/http_message.h"
#include "peer/messages.h"
#include "query_answer.h"

namespace jackdawrack {

/// Reads a query; the error names the member at fault.
[[nodiscard]] EntryResult<CallerQuery> DecodeCallerQuery(
    const HttpRequest& request,
    const EntrySettings& settings);

/// Reads a non-idempotent request; the error names the member at fault.
[[nodiscard]] EntryResult<CallerRequest> DecodeCallerRequest(
    const HttpRequest& request,
    const EntrySettings& settings);

/// The reply to a query, complete or not.
[[nodiscard]] HttpReply EncodeQueryAnswer(const QueryAnswer& answer);

/// The reply to a non-idempotent request.
[[nodiscard]] HttpReply EncodeRunAnswer(const RunAnswer& answer);

/// True if the caller says by "Idempotency-Resend: true" that it sent the same
/// key before, so that a refusal here proves nothing about the key.
[[nodiscard]] bool IsResend(const HttpRequest& request);

/// The reply to a refused request; "executed" is "unknown" for a resend.
[[nodiscard]] HttpReply EncodeError(const EntryError& error,
                                    bool is_resend = false);

}  // namespace jackdawrack
