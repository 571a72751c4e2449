#pragma once

#include "core/error.h"

namespace jackdawrack {

/// What went wrong on a connection.
enum class NetErrc {
  /// No byte of the request was sent.
  kNotSent,
  /// No whole reply came in time.
  kTimeout,
  /// The connection broke after the request may have been sent.
  kBroken,
  /// The other side sent what is not HTTP or is too large.
  kMalformed,
};

using NetError = LayerError<NetErrc>;

template <typename T>
using NetResult = Result<T, NetErrc>;

}  // namespace jackdawrack
