#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "model/ids.h"
#include "model/outcome.h"
#include "model/request_id.h"

namespace jackdawrack {

/// Kinds of steps in the processing of a request.
enum class TraceStepKind : std::uint8_t {
  kPlanned,
  kSent,
  kAnswered,
  kRetried,
  kRestarted,
  kHedged,
  kFinished,
};

/// Returns the stable name of a step kind as written in the trace JSON.
[[nodiscard]] constexpr std::string_view TraceStepName(TraceStepKind kind) {
  switch (kind) {
    case TraceStepKind::kPlanned:
      return "planned";
    case TraceStepKind::kSent:
      return "sent";
    case TraceStepKind::kAnswered:
      return "answered";
    case TraceStepKind::kRetried:
      return "retried";
    case TraceStepKind::kRestarted:
      return "restarted";
    case TraceStepKind::kHedged:
      return "hedged";
    case TraceStepKind::kFinished:
      return "finished";
  }
  return "finished";
}

/// One step in the processing of a request.
struct TraceStep {
  /// Microseconds since the request was received.
  std::uint32_t m_at_us = 0;
  TraceStepKind m_kind = TraceStepKind::kPlanned;
  MissReason m_reason = MissReason::kNone;
  /// Number of key ranges concerned; for `kPlanned` the number of owners, for
  /// `kFinished` the number of missing ranges.
  std::uint32_t m_ranges = 0;
  /// Index version used from this step on; 0 if the step sets none.
  std::uint64_t m_index_version = 0;
  /// The owner that was called or that answered; empty if none.
  InstanceId m_owner;
  /// Outcome and reason of a non-idempotent request; empty for a query.
  std::string m_note;

  friend bool operator==(const TraceStep&, const TraceStep&) = default;
};

/// The trace of one request.
struct TraceRecord {
  RequestId m_request;
  Customer m_customer;
  std::string m_kind;
  UnixMs m_started_ms = 0;
  std::vector<TraceStep> m_steps;
  /// Number of steps dropped because the trace was full.
  std::uint32_t m_dropped_steps = 0;
  /// "complete" or "partial" for a query; "ran", "not_run" or "unknown" for a
  /// non-idempotent request.
  std::string m_outcome;

  friend bool operator==(const TraceRecord&, const TraceRecord&) = default;
};

}  // namespace jackdawrack
