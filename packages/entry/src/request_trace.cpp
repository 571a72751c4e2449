#include "entry/request_trace.h"

namespace jackdawrack {
namespace {

std::uint32_t ToCount(std::size_t number) {
  return static_cast<std::uint32_t>(number);
}

std::uint32_t MicrosecondsBetween(TimePoint from, TimePoint to) {
  if (to <= from) {
    return 0;
  }
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(to - from).count());
}

}  // namespace

RequestTrace::RequestTrace(RequestId request,
                           Customer customer,
                           std::string kind,
                           TimePoint started,
                           UnixMs started_ms,
                           Counter& late_replies)
    : m_started(started), m_late_replies(late_replies) {
  m_record.m_request = request;
  m_record.m_customer = std::move(customer);
  m_record.m_kind = std::move(kind);
  m_record.m_started_ms = started_ms;
}

void RequestTrace::RecordPlan(std::size_t owners,
                              std::uint64_t index_version,
                              TimePoint now) {
  TraceStep step;
  step.m_kind = TraceStepKind::kPlanned;
  step.m_ranges = ToCount(owners);
  step.m_index_version = index_version;
  Add(std::move(step), now);
}

void RequestTrace::RecordSend(const InstanceId& owner,
                              std::size_t ranges,
                              TimePoint now) {
  TraceStep step;
  step.m_kind = TraceStepKind::kSent;
  step.m_owner = owner;
  step.m_ranges = ToCount(ranges);
  Add(std::move(step), now);
}

void RequestTrace::RecordAnswer(const InstanceId& owner,
                                std::size_t ranges,
                                MissReason reason,
                                TimePoint now) {
  TraceStep step;
  step.m_kind = TraceStepKind::kAnswered;
  step.m_owner = owner;
  step.m_ranges = ToCount(ranges);
  step.m_reason = reason;
  Add(std::move(step), now);
}

void RequestTrace::RecordRunAnswer(const InstanceId& owner,
                                   Outcome outcome,
                                   const std::string& reason,
                                   TimePoint now) {
  TraceStep step;
  step.m_kind = TraceStepKind::kAnswered;
  step.m_owner = owner;
  step.m_ranges = 1;
  step.m_note = std::string(OutcomeName(outcome));
  if (!reason.empty()) {
    step.m_note += ": " + reason;
  }
  Add(std::move(step), now);
}

void RequestTrace::RecordRetry(std::size_t ranges, TimePoint now) {
  ++m_counts.m_retries;
  TraceStep step;
  step.m_kind = TraceStepKind::kRetried;
  step.m_ranges = ToCount(ranges);
  Add(std::move(step), now);
}

void RequestTrace::RecordRestart(std::uint64_t index_version, TimePoint now) {
  ++m_counts.m_restarts;
  TraceStep step;
  step.m_kind = TraceStepKind::kRestarted;
  step.m_index_version = index_version;
  Add(std::move(step), now);
}

void RequestTrace::RecordHedge(const InstanceId& owner,
                               std::size_t ranges,
                               TimePoint now) {
  ++m_counts.m_hedges;
  TraceStep step;
  step.m_kind = TraceStepKind::kHedged;
  step.m_owner = owner;
  step.m_ranges = ToCount(ranges);
  Add(std::move(step), now);
}

void RequestTrace::RecordFinish(std::size_t missing,
                                std::string outcome,
                                TimePoint now) {
  m_record.m_outcome = std::move(outcome);
  TraceStep step;
  step.m_kind = TraceStepKind::kFinished;
  step.m_ranges = ToCount(missing);
  Add(std::move(step), now);
}

void RequestTrace::Add(TraceStep step, TimePoint now) {
  // Always keep the final step, so that the time of the answer is known
  const bool is_last = step.m_kind == TraceStepKind::kFinished;
  if (m_record.m_steps.size() >= kMaxSteps && !is_last) {
    ++m_record.m_dropped_steps;
    return;
  }
  step.m_at_us = MicrosecondsBetween(m_started, now);
  m_record.m_steps.push_back(std::move(step));
}

}  // namespace jackdawrack
