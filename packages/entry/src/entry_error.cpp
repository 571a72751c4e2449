#include "entry/entry_error.h"

namespace jackdawrack {

const char* EntryErrorName(EntryErrc code) {
  switch (code) {
    case EntryErrc::kBadRequest:
      return "bad_request";
    case EntryErrc::kUnknownCustomer:
      return "unknown_customer";
    case EntryErrc::kUnknownKind:
      return "unknown_kind";
    case EntryErrc::kWrongKind:
      return "wrong_kind";
    case EntryErrc::kUnknownCollection:
      return "unknown_collection";
    case EntryErrc::kNotFound:
      return "not_found";
    case EntryErrc::kOverLimit:
      return "over_limit";
    case EntryErrc::kNotReady:
      return "not_ready";
  }
  return "bad_request";
}

unsigned EntryErrorStatus(EntryErrc code) {
  switch (code) {
    case EntryErrc::kBadRequest:
    case EntryErrc::kUnknownKind:
    case EntryErrc::kWrongKind:
      return 400;
    case EntryErrc::kUnknownCustomer:
      return 403;
    case EntryErrc::kUnknownCollection:
    case EntryErrc::kNotReady:
      return 503;
    case EntryErrc::kNotFound:
      return 404;
    case EntryErrc::kOverLimit:
      return 429;
  }
  return 400;
}

}  // namespace jackdawrack
