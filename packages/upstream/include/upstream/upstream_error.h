#pragma once

#include "core/error.h"

namespace jackdawrack {

/// Errors of requests from an owner to an upstream.
enum class UpstreamErrc {
  /// The queue was full, or the deadline could not be met or expired while the
  /// request was queued; nothing was sent.
  kOverloaded,
  /// The request was cancelled before it was sent.
  kCancelled,
  /// The upstream is draining; the request was not sent.
  kDraining,
  /// No connection could be established; nothing was sent.
  kUnreachable,
  /// The request was sent, but no complete reply arrived before the deadline.
  kTimeout,
  /// The connection broke after the request may have been sent.
  kConnectionLost,
  /// The reply could not be parsed.
  kMalformed,
};

/// An `UpstreamErrc` with a message.
using UpstreamError = LayerError<UpstreamErrc>;

/// A value or an `UpstreamError`.
template <typename T>
using UpstreamResult = Result<T, UpstreamErrc>;

/// Returns true if the error proves that the upstream never received the
/// request, so that it is safe to send it again.
[[nodiscard]] constexpr bool ProvesNotSent(UpstreamErrc code) {
  return code == UpstreamErrc::kOverloaded ||
         code == UpstreamErrc::kCancelled || code == UpstreamErrc::kDraining ||
         code == UpstreamErrc::kUnreachable;
}

}  // namespace jackdawrack
