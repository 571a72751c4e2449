#include "query_run.h"

#include "core/check.h"

namespace jackdawrack {
namespace {

/// Maximum number of late ranges of one call that are hedged at the normal
/// delay.
constexpr std::size_t kMaxPromptHedgeRanges = 2;

/// Multiple of the normal delay after which calls with more late ranges are
/// hedged.
constexpr int kPostponedHedgeDelayFactor = 3;

}  // namespace

std::optional<TimePoint> QueryRun::HedgeDue(const OpenCall& call) const {
  if (call.m_is_hedge || call.m_was_hedged) {
    return std::nullopt;
  }
  const auto delay = m_state.HedgeDelay(
      *m_spec.m_contract, m_spec.m_collection->Name(), call.m_owner.m_domain);
  if (!delay) {
    return std::nullopt;
  }
  const int factor = call.m_is_hedge_postponed ? kPostponedHedgeDelayFactor : 1;
  return call.m_sent + *delay * factor;
}

void QueryRun::ScheduleHedge() {
  std::optional<TimePoint> next;
  for (const auto& [attempt, call] : m_open_calls) {
    const auto due = HedgeDue(call);
    if (due && (!next || *due < *next)) {
      next = due;
    }
  }
  if (!next) {
    return;
  }
  m_hedge_timer.expires_at(*next);
  m_hedge_timer.async_wait([self = shared_from_this()](auto error) {
    if (!error && !self->m_is_finished) {
      self->OnHedgeDue();
    }
  });
}

void QueryRun::OnHedgeDue() {
  const TimePoint now = SteadyClock().Now();
  std::vector<std::uint32_t> due;
  for (const auto& [attempt, call] : m_open_calls) {
    const auto hedge_due = HedgeDue(call);
    if (hedge_due && *hedge_due <= now) {
      due.push_back(attempt);
    }
  }
  for (const std::uint32_t attempt : due) {
    HedgeCall(attempt);
  }
  ScheduleHedge();
}

// A refused hedge was not executed, so its budget token covers a hedge to the
// next domain.
void QueryRun::ResendRefusedHedges() {
  for (const RangeAnswer& refused : std::exchange(m_refused_hedges, {})) {
    if (refused.m_reason != MissReason::kOverloaded ||
        m_merge.Covered().Covers(refused.m_range)) {
      continue;
    }
    HedgeInOtherDomain(refused.m_range);
  }
}

void QueryRun::HedgeInOtherDomain(const KeyRange& range) {
  for (const PlannedSubQuery& planned : Plan({range}).m_sub_queries) {
    if (!m_tried.Contains(planned.m_owner.m_domain, planned.m_ranges.front())) {
      SendSubQuery(planned, true);
    }
  }
}

void QueryRun::HedgeCall(std::uint32_t attempt) {
  OpenCall& call = m_open_calls.at(attempt);
  const QueryPlan plan = Plan(call.m_unanswered.Ranges());

  // Postpone the hedge if many ranges are late, to save the budget for single
  // late replicas
  std::size_t late_count = 0;
  for (const PlannedSubQuery& planned : plan.m_sub_queries) {
    late_count += planned.m_ranges.size();
  }
  if (late_count > kMaxPromptHedgeRanges && !call.m_is_hedge_postponed) {
    call.m_is_hedge_postponed = true;
    return;
  }
  call.m_was_hedged = true;
  for (const PlannedSubQuery& planned : plan.m_sub_queries) {
    // Select the ranges not yet sent to this domain, within the hedge budget
    PlannedSubQuery hedge{planned.m_owner, {}};
    for (const KeyRange& range : planned.m_ranges) {
      if (!m_tried.Contains(planned.m_owner.m_domain, range) &&
          m_state.TrySpendHedge(*m_spec.m_contract)) {
        hedge.m_ranges.push_back(range);
      }
    }
    if (!hedge.m_ranges.empty()) {
      SendSubQuery(hedge, true);
    }
  }
}

void QueryRun::CancelCoveredCalls() {
  for (auto call = m_open_calls.begin(); call != m_open_calls.end();) {
    bool is_covered = true;
    for (const KeyRange& range : call->second.m_unanswered.Ranges()) {
      is_covered = is_covered && m_merge.Covered().Covers(range);
    }
    if (!is_covered || call->second.m_is_trial ||
        call->second.m_unanswered.IsEmpty()) {
      ++call;
      continue;
    }
    for (const KeyRange& range : call->second.m_unanswered.Ranges()) {
      m_state.RecordUnanswered(m_spec.m_collection->Name(),
                               ReplicaOf(call->second.m_owner, range),
                               SteadyClock().Now() - call->second.m_sent);
    }
    m_state.CountCancel();
    m_router.Cancel(call->second.m_owner,
                    CallId{m_spec.m_request, call->first});
    call = m_open_calls.erase(call);
  }
}

// Otherwise the recorded latency of a replica that is too slow to answer would
// not change.
void QueryRun::RecordUnansweredCalls() {
  const TimePoint now = SteadyClock().Now();
  for (const auto& [attempt, call] : m_open_calls) {
    if (call.m_is_trial) {
      continue;
    }
    for (const KeyRange& range : call.m_unanswered.Ranges()) {
      m_state.RecordUnanswered(m_spec.m_collection->Name(),
                               ReplicaOf(call.m_owner, range),
                               now - call.m_sent);
    }
  }
}

}  // namespace jackdawrack
