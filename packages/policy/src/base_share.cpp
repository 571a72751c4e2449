#include "policy/base_share.h"

#include <algorithm>

#include "core/check.h"

namespace jackdawrack {
namespace {

/// Confirmations by peers that a newly listed instance needs; fewer if the list
/// has fewer peers.
constexpr std::size_t kConfirmationsNeeded = 3;

}  // namespace

void BaseShare::SetList(std::size_t instances, bool is_listed, TimePoint now) {
  JR_CHECK(!is_listed || instances > 0);
  if (is_listed && !m_is_listed) {
    m_listed_at = now;
    m_confirmations.clear();
  }
  m_is_listed = is_listed;

  // Keep the sizes of replaced lists that other instances may still use
  if (!m_counts.empty()) {
    m_counts.back().m_replaced_at = now;
  }
  while (!m_counts.empty() &&
         m_counts.front().m_replaced_at + m_list_lag < now) {
    m_counts.pop_front();
  }
  m_counts.push_back(Count{instances});
}

void BaseShare::ConfirmedBy(const InstanceId& peer) {
  if (m_confirmations.size() < kConfirmationsNeeded) {
    m_confirmations.insert(peer);
  }
}

double BaseShare::Fraction(TimePoint now) const {
  if (!m_is_listed || !IsCountedByPeers(now)) {
    return 0;
  }
  std::size_t greatest = 1;
  for (const Count& count : m_counts) {
    if (count.m_replaced_at == TimePoint::max() ||
        count.m_replaced_at + m_list_lag >= now) {
      greatest = std::max(greatest, count.m_instances);
    }
  }
  return 1.0 / static_cast<double>(greatest);
}

bool BaseShare::IsCountedByPeers(TimePoint now) const {
  const std::size_t peers = m_counts.back().m_instances - 1;
  return now >= m_listed_at + m_list_lag ||
         m_confirmations.size() >= std::min(kConfirmationsNeeded, peers);
}

}  // namespace jackdawrack
