#pragma once

#include "core/metrics.h"
#include "entry/trace_step.h"

namespace jackdawrack {

/// How often a request left the plain path.
struct TraceCounts {
  std::uint32_t m_retries = 0;
  std::uint32_t m_restarts = 0;
  std::uint32_t m_hedges = 0;

  friend bool operator==(const TraceCounts&, const TraceCounts&) = default;
};

/// Collects the steps of one running request.
///
/// Used on the strand of that request only; at most `kMaxSteps` are kept.
class RequestTrace final {
 public:
  static constexpr std::size_t kMaxSteps = 256;

  /// `late_replies` has to outlive the trace.
  RequestTrace(RequestId request,
               Customer customer,
               std::string kind,
               TimePoint started,
               UnixMs started_ms,
               Counter& late_replies);

  /// The request was split into calls to `owners` instances.
  void Planned(std::size_t owners, std::uint64_t index_version, TimePoint now);
  /// A call left for `owner`.
  void Sent(const InstanceId& owner, std::size_t ranges, TimePoint now);
  /// Part of an answer came from `owner`: `ranges` ended with `reason`.
  void Answered(const InstanceId& owner,
                std::size_t ranges,
                MissReason reason,
                TimePoint now);
  /// `owner` answered a non-idempotent request; `reason` says why it did not
  /// run there.
  void AnsweredRun(const InstanceId& owner,
                   Outcome outcome,
                   const std::string& reason,
                   TimePoint now);
  /// Missed ranges are asked for again.
  void Retried(std::size_t ranges, TimePoint now);
  /// The whole query starts again on another index version.
  void Restarted(std::uint64_t index_version, TimePoint now);
  /// A slow call is doubled at `owner`.
  void Hedged(const InstanceId& owner, std::size_t ranges, TimePoint now);
  /// The caller gets the answer; `missing` ranges are not in it.
  void Finished(std::size_t missing, std::string outcome, TimePoint now);
  /// A reply came after the answer, or matched no call.
  void LateReply() { m_late_replies.Add(); }

  [[nodiscard]] const TraceRecord& Record() const { return m_record; }
  [[nodiscard]] const TraceCounts& Counts() const { return m_counts; }

 private:
  void Add(TraceStep step, TimePoint now);

  const TimePoint m_started;
  Counter& m_late_replies;
  TraceRecord m_record;
  TraceCounts m_counts;
};

}  // namespace jackdawrack
