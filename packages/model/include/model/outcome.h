#pragma once

#include <cstdint>
#include <string_view>

namespace jackdawrack {

/// What is known of a non-idempotent request's execution.
enum class Outcome : std::uint8_t {
  /// It ran, once, and its result is known.
  kRan,
  /// It is proved that it did not run and will not.
  kNotRun,
  /// It may or may not have run.
  kUnknown,
};

/// "ran", "not_run" or "unknown".
[[nodiscard]] constexpr std::string_view OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kRan:
      return "ran";
    case Outcome::kNotRun:
      return "not_run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

/// Why a key range was not covered, or a sub-request not answered.
enum class MissReason : std::uint8_t {
  kNone,
  kTimeout,
  kOverloaded,
  kUnreachable,
  kWrongVersion,
  kNotOwned,
  kNoReplica,
  kCancelled,
  kFailed,
};

/// The stable word for a reason, as callers see it.
[[nodiscard]] constexpr std::string_view MissReasonName(MissReason reason) {
  switch (reason) {
    case MissReason::kNone:
      return "none";
    case MissReason::kTimeout:
      return "timeout";
    case MissReason::kOverloaded:
      return "overloaded";
    case MissReason::kUnreachable:
      return "unreachable";
    case MissReason::kWrongVersion:
      return "wrong_version";
    case MissReason::kNotOwned:
      return "not_owned";
    case MissReason::kNoReplica:
      return "no_replica";
    case MissReason::kCancelled:
      return "cancelled";
    case MissReason::kFailed:
      return "failed";
  }
  return "failed";
}

}  // namespace jackdawrack
