#include "policy/base_share.h"

#include <algorithm>

#include "core/check.h"

namespace jackdawrack {
namespace {

/// Confirmations by peers that a newly listed instance needs; fewer if the list
/// has fewer peers.
constexpr std::size_t kRequiredConfirmations = 3;

}  // namespace

void BaseShare::SetInstanceList(std::size_t instance_count,
                                bool is_listed,
                                TimePoint now) {
  JR_CHECK(!is_listed || instance_count > 0);
  if (is_listed && !m_is_listed) {
    m_listed_at = now;
    m_confirmations.clear();
  }
  m_is_listed = is_listed;

  // Keep the sizes of replaced lists that other instances may still use
  if (!m_list_sizes.empty()) {
    m_list_sizes.back().m_replaced_at = now;
  }
  while (!m_list_sizes.empty() &&
         m_list_sizes.front().m_replaced_at + m_list_lag < now) {
    m_list_sizes.pop_front();
  }
  m_list_sizes.push_back(ListSize{instance_count});
}

void BaseShare::RecordConfirmation(const InstanceId& peer) {
  if (m_confirmations.size() < kRequiredConfirmations) {
    m_confirmations.insert(peer);
  }
}

double BaseShare::UsableFraction(TimePoint now) const {
  if (!m_is_listed || !IsConfirmed(now)) {
    return 0;
  }
  std::size_t greatest = 1;
  for (const ListSize& list : m_list_sizes) {
    if (list.m_replaced_at == TimePoint::max() ||
        list.m_replaced_at + m_list_lag >= now) {
      greatest = std::max(greatest, list.m_instance_count);
    }
  }
  return 1.0 / static_cast<double>(greatest);
}

bool BaseShare::IsConfirmed(TimePoint now) const {
  const std::size_t peers = m_list_sizes.back().m_instance_count - 1;
  return now >= m_listed_at + m_list_lag ||
         m_confirmations.size() >= std::min(kRequiredConfirmations, peers);
}

}  // namespace jackdawrack
