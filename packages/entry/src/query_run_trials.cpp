#include "query_run.h"

#include <algorithm>

namespace jackdawrack {

void QueryRun::SendTrials(PlannedSubQuery& share) {
  if (m_on_trial.empty()) {
    return;
  }
  const auto is_trial = [&](const KeyRange& range) {
    return m_on_trial.contains(ReplicaOf(share.m_owner, range));
  };
  const auto usual = std::stable_partition(share.m_ranges.begin(),
                                           share.m_ranges.end(), is_trial);
  const std::vector<KeyRange> trials(share.m_ranges.begin(), usual);
  share.m_ranges.erase(share.m_ranges.begin(), usual);
  for (const KeyRange& range : trials) {
    OpenCall& call = SendShare(PlannedSubQuery{share.m_owner, {range}}, false);
    if (m_tables.TakeHedge(*m_spec.m_contract)) {
      call.m_is_trial = true;
      call.m_was_hedged = true;
      HedgeElsewhere(range);
    }
  }
}

void QueryRun::RecordTrial(const OpenCall& call, const SubAnswer& answer) {
  const Duration took = SteadyClock().Now() - call.m_sent;
  for (const RangeAnswer& range : answer.m_ranges) {
    const ReplicaKey replica = ReplicaOf(call.m_owner, range.m_range);
    if (range.m_reason == MissReason::kNone) {
      m_tables.RecordLatency(m_spec.m_collection->Name(), replica, took);
    } else if (range.m_reason == MissReason::kTimeout) {
      m_tables.RecordLate(m_spec.m_collection->Name(), replica, took);
    }
  }
}

}  // namespace jackdawrack
