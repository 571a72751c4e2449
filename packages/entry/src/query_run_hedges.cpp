#include "query_run.h"

#include "core/check.h"

namespace jackdawrack {
namespace {

/// Up to so many late ranges of one call are hedged at the usual delay, more of
/// them only after this multiple of it.
constexpr std::size_t kFewLateRanges = 2;

constexpr int kPostponedHedgeFactor = 3;

}  // namespace

std::optional<TimePoint> QueryRun::HedgeDue(const OpenCall& call) const {
  if (call.m_is_hedge || call.m_was_hedged) {
    return std::nullopt;
  }
  const auto delay = m_tables.HedgeDelay(
      *m_spec.m_contract, m_spec.m_collection->Name(), call.m_owner.m_domain);
  if (!delay) {
    return std::nullopt;
  }
  const int factor = call.m_is_hedge_postponed ? kPostponedHedgeFactor : 1;
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

// A refused hedge ran nothing, so its token pays for the next domain.
void QueryRun::HedgeRefusedElsewhere() {
  for (const RangeAnswer& refused : std::exchange(m_refused_hedges, {})) {
    if (refused.m_reason != MissReason::kOverloaded ||
        m_merge.Covered().Covers(refused.m_range)) {
      continue;
    }
    HedgeElsewhere(refused.m_range);
  }
}

void QueryRun::HedgeElsewhere(const KeyRange& range) {
  for (const PlannedSubQuery& share : Plan({range}).m_sub_queries) {
    if (!m_tried.Contains(share.m_owner.m_domain, share.m_ranges.front())) {
      SendShare(share, true);
    }
  }
}

void QueryRun::HedgeCall(std::uint32_t attempt) {
  OpenCall& call = m_open_calls.at(attempt);
  const QueryPlan plan = Plan(call.m_unanswered.Ranges());

  // Keep the budget for single late replicas if the whole call is late
  std::size_t late = 0;
  for (const PlannedSubQuery& share : plan.m_sub_queries) {
    late += share.m_ranges.size();
  }
  if (late > kFewLateRanges && !call.m_is_hedge_postponed) {
    call.m_is_hedge_postponed = true;
    return;
  }
  call.m_was_hedged = true;
  for (const PlannedSubQuery& share : plan.m_sub_queries) {
    // Keep the ranges that another domain can answer within the budget
    PlannedSubQuery hedge{share.m_owner, {}};
    for (const KeyRange& range : share.m_ranges) {
      if (!m_tried.Contains(share.m_owner.m_domain, range) &&
          m_tables.TakeHedge(*m_spec.m_contract)) {
        hedge.m_ranges.push_back(range);
      }
    }
    if (!hedge.m_ranges.empty()) {
      SendShare(hedge, true);
    }
  }
}

void QueryRun::WithdrawCoveredCalls() {
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
      m_tables.RecordLate(m_spec.m_collection->Name(),
                          ReplicaOf(call->second.m_owner, range),
                          SteadyClock().Now() - call->second.m_sent);
    }
    m_tables.CountCancel();
    m_router.Cancel(call->second.m_owner,
                    CallId{m_spec.m_request, call->first});
    call = m_open_calls.erase(call);
  }
}

// Without this a replica too slow to answer at all would look as fast as ever.
void QueryRun::RecordUnanswered() {
  const TimePoint now = SteadyClock().Now();
  for (const auto& [attempt, call] : m_open_calls) {
    if (call.m_is_trial) {
      continue;
    }
    for (const KeyRange& range : call.m_unanswered.Ranges()) {
      m_tables.RecordLate(m_spec.m_collection->Name(),
                          ReplicaOf(call.m_owner, range), now - call.m_sent);
    }
  }
}

}  // namespace jackdawrack
