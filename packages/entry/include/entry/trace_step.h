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

/// What an entry did for a request at one moment.
enum class TraceStepKind : std::uint8_t {
  kPlanned,
  kSent,
  kAnswered,
  kRetried,
  kRestarted,
  kHedged,
  kFinished,
};

/// The stable word for a step, as operators see it.
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

/// One step of a request: when, what, at which instance, for how many ranges,
/// and why.
struct TraceStep {
  /// Microseconds since the request was taken.
  std::uint32_t m_at_us = 0;
  TraceStepKind m_kind = TraceStepKind::kPlanned;
  MissReason m_reason = MissReason::kNone;
  /// Key ranges that the step is about.
  std::uint32_t m_ranges = 0;
  /// Index version that the step is about; 0 if none.
  std::uint64_t m_index_version = 0;
  /// The owner that was asked or that answered; empty if none.
  InstanceId m_owner;
  /// Outcome and reason of a non-idempotent request; empty of a query.
  std::string m_note;

  friend bool operator==(const TraceStep&, const TraceStep&) = default;
};

/// Everything that an entry did for one request.
struct TraceRecord {
  RequestId m_request;
  Customer m_customer;
  std::string m_kind;
  UnixMs m_started_ms = 0;
  std::vector<TraceStep> m_steps;
  /// Steps beyond the bound, which were not kept.
  std::uint32_t m_dropped_steps = 0;
  /// "complete" or "partial"; of a non-idempotent request its outcome.
  std::string m_outcome;

  friend bool operator==(const TraceRecord&, const TraceRecord&) = default;
};

}  // namespace jackdawrack
