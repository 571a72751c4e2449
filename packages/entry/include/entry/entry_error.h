#pragma once

#include <string>

#include "core/error.h"

namespace jackdawrack {

/// Why a caller's request was refused; none of these has run anything.
enum class EntryErrc {
  kBadRequest,
  kUnknownCustomer,
  kUnknownKind,
  kWrongKind,
  kUnknownCollection,
  kNotFound,
  kOverLimit,
  kNotReady,
};

using EntryError = LayerError<EntryErrc>;

template <typename T>
using EntryResult = Result<T, EntryErrc>;

/// The stable word for a refusal, as callers see it.
[[nodiscard]] const char* EntryErrorName(EntryErrc code);

/// The HTTP status of a refusal.
[[nodiscard]] unsigned EntryErrorStatus(EntryErrc code);

}  // namespace jackdawrack
