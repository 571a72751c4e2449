#pragma once

#include "core/error.h"

namespace jackdawrack {

/// What went wrong between an owner and an upstream.
enum class UpstreamErrc {
  /// The queue was full or the deadline passed in it; nothing was sent.
  kNotStarted,
  /// The work was withdrawn before it was sent.
  kCancelled,
  /// The upstream is leaving; the work was taken back before it was sent.
  kDraining,
  /// No connection could be made; nothing was sent.
  kUnreachable,
  /// Sent, but no whole reply came in time.
  kTimeout,
  /// Sent, and the connection broke before the reply.
  kBroken,
  /// The reply could not be understood.
  kMalformed,
};

using UpstreamError = LayerError<UpstreamErrc>;

template <typename T>
using UpstreamResult = Result<T, UpstreamErrc>;

/// True when the error proves that the upstream never got the request.
[[nodiscard]] constexpr bool ProvesNotSent(UpstreamErrc code) {
  return code == UpstreamErrc::kNotStarted ||
         code == UpstreamErrc::kCancelled || code == UpstreamErrc::kDraining ||
         code == UpstreamErrc::kUnreachable;
}

}  // namespace jackdawrack
