#include "query_run.h"

#include <algorithm>

namespace jackdawrack {

void QueryRun::SendTrials(PlannedSubQuery& planned) {
  if (m_replicas_on_trial.empty()) {
    return;
  }
  const auto is_trial = [&](const KeyRange& range) {
    return m_replicas_on_trial.contains(ReplicaOf(planned.m_owner, range));
  };
  const auto trials_end = std::stable_partition(
      planned.m_ranges.begin(), planned.m_ranges.end(), is_trial);
  const std::vector<KeyRange> trials(planned.m_ranges.begin(), trials_end);
  planned.m_ranges.erase(planned.m_ranges.begin(), trials_end);
  for (const KeyRange& range : trials) {
    OpenCall& call =
        SendSubQuery(PlannedSubQuery{planned.m_owner, {range}}, false);
    if (m_state.TrySpendHedge(*m_spec.m_contract)) {
      call.m_is_trial = true;
      call.m_was_hedged = true;
      HedgeInOtherDomain(range);
    }
  }
}

void QueryRun::RecordTrial(const OpenCall& call, const SubAnswer& answer) {
  const Duration latency = SteadyClock().Now() - call.m_sent;
  for (const RangeAnswer& range : answer.m_ranges) {
    const ReplicaKey replica = ReplicaOf(call.m_owner, range.m_range);
    if (range.m_reason == MissReason::kNone) {
      m_state.RecordLatency(m_spec.m_collection->Name(), replica, latency);
    } else if (range.m_reason == MissReason::kTimeout) {
      m_state.RecordUnanswered(m_spec.m_collection->Name(), replica, latency);
    }
  }
}

}  // namespace jackdawrack
