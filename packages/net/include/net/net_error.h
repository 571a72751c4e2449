#pragma once

#include "core/error.h"

namespace jackdawrack {

/// Errors of a network connection.
enum class NetErrc {
  /// The connection could not be opened, or no byte of the request was sent.
  kNotSent,
  /// No complete reply arrived within the timeout.
  kTimeout,
  /// The connection broke after the request may have been sent.
  kConnectionLost,
  /// The peer sent invalid HTTP, or a header that exceeded a size limit.
  kMalformed,
  /// The body exceeded the size limit.
  kTooLarge,
};

/// A `NetErrc` with a message.
using NetError = LayerError<NetErrc>;

/// A value or a `NetError`.
template <typename T>
using NetResult = Result<T, NetErrc>;

}  // namespace jackdawrack
