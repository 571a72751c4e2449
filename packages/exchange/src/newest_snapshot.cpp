#include "exchange/newest_snapshot.h"

#include <utility>

namespace jackdawrack {

void NewestSnapshot::Offer(const PublishedSnapshot& snapshot, TimePoint now) {
  if (!m_newest) {
    m_first_offer_at = now;
  }
  if (!m_newest || snapshot.m_revision > m_newest->m_revision) {
    m_newest = snapshot;
  }
}

std::optional<PublishedSnapshot> NewestSnapshot::Take(TimePoint now) {
  if (!m_newest || now - m_first_offer_at < kCollectTime) {
    return std::nullopt;
  }
  return std::exchange(m_newest, std::nullopt);
}

}  // namespace jackdawrack
