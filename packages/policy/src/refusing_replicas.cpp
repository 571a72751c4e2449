#include "policy/refusing_replicas.h"

#include <algorithm>

namespace jackdawrack {

void RefusingReplicas::RecordRefusal(const ReplicaKey& replica, TimePoint now) {
  const auto [entry, is_first] = m_refusals.try_emplace(
      replica, Refusal{now + kInitialBackoff, kInitialBackoff});
  Refusal& refusal = entry->second;
  if (is_first || now < refusal.m_avoided_until) {
    return;
  }
  refusal.m_backoff = std::min(refusal.m_backoff * 2, kMaxBackoff);
  refusal.m_avoided_until = now + refusal.m_backoff;
}

void RefusingReplicas::RecordSuccess(const ReplicaKey& replica) {
  m_refusals.erase(replica);
}

void RefusingReplicas::AddReplicasToAvoid(ReplicaSet& avoided,
                                          TimePoint now) const {
  for (const auto& [replica, refusal] : m_refusals) {
    if (now < refusal.m_avoided_until) {
      avoided.insert(replica);
    }
  }
}

}  // namespace jackdawrack
