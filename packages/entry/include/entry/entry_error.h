#pragma once

#include <string>

#include "core/error.h"

namespace jackdawrack {

/// Reasons for refusing a caller's request. A refused request has not been
/// executed.
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

/// Returns the stable name of an error as sent to callers, such as
/// "bad_request".
[[nodiscard]] const char* EntryErrorName(EntryErrc code);

/// Returns the HTTP status code of an error.
[[nodiscard]] unsigned EntryErrorStatus(EntryErrc code);

}  // namespace jackdawrack
