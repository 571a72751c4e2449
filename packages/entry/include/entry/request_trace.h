#pragma once

#include "core/metrics.h"
#include "entry/trace_step.h"

namespace jackdawrack {

/// Number of retries, restarts and hedges of one request.
struct TraceCounts {
  std::uint32_t m_retries = 0;
  std::uint32_t m_restarts = 0;
  std::uint32_t m_hedges = 0;

  friend bool operator==(const TraceCounts&, const TraceCounts&) = default;
};

/// Collects the trace steps of one running request.
///
/// Must be used only on the strand of that request. Keeps at most `kMaxSteps`
/// steps and the final one; further steps are only counted.
class RequestTrace final {
 public:
  static constexpr std::size_t kMaxSteps = 256;

  /// `late_replies` must outlive the trace.
  RequestTrace(RequestId request,
               Customer customer,
               std::string kind,
               TimePoint started,
               UnixMs started_ms,
               Counter& late_replies);

  /// Records that the request was split into calls to `owners` instances.
  void RecordPlan(std::size_t owners,
                  std::uint64_t index_version,
                  TimePoint now);
  /// Records a call to `owner` for `ranges` key ranges.
  void RecordSend(const InstanceId& owner, std::size_t ranges, TimePoint now);
  /// Records an answer from `owner` in which `ranges` key ranges ended with
  /// `reason`; `MissReason::kNone` means that they were answered.
  void RecordAnswer(const InstanceId& owner,
                    std::size_t ranges,
                    MissReason reason,
                    TimePoint now);
  /// Records the answer of `owner` to a non-idempotent request; `reason` says
  /// why the request did not run there and is empty if it did.
  void RecordRunAnswer(const InstanceId& owner,
                       Outcome outcome,
                       const std::string& reason,
                       TimePoint now);
  /// Records a retry of `ranges` missing key ranges.
  void RecordRetry(std::size_t ranges, TimePoint now);
  /// Records a restart of the whole query on another index version.
  void RecordRestart(std::uint64_t index_version, TimePoint now);
  /// Records a hedged call to `owner` for `ranges` key ranges.
  void RecordHedge(const InstanceId& owner, std::size_t ranges, TimePoint now);
  /// Records the final answer, in which `missing` key ranges are missing.
  void RecordFinish(std::size_t missing, std::string outcome, TimePoint now);
  /// Counts a reply that arrived after the final answer or matches no open
  /// call.
  void CountLateReply() { m_late_replies.Add(); }

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
