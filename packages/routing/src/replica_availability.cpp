#include "routing/replica_availability.h"

#include <algorithm>

namespace jackdawrack {

void ReplicaAvailability::RecordLeaving(Milliseconds drain_bound,
                                        TimePoint now) {
  if (m_is_leaving) {
    return;
  }
  m_is_leaving = true;
  m_usable_until =
      now + std::max(drain_bound - kTransitMargin, Milliseconds(0));
}

void ReplicaAvailability::RecordPause(Milliseconds duration,
                                      double spread,
                                      TimePoint now) {
  const Milliseconds pause = std::clamp(duration, Milliseconds(0), kMaxPause);
  const Duration extension(static_cast<Duration::rep>(
      static_cast<double>(Duration(pause).count()) * kMaxSpread * spread));
  m_paused_until = std::max(m_paused_until, now + pause + extension);
}

Availability ReplicaAvailability::At(TimePoint now) const {
  if (now < m_paused_until) {
    return Availability::kUnavailable;
  }
  if (!m_is_leaving) {
    return Availability::kAvailable;
  }
  return now < m_usable_until ? Availability::kLastResort
                              : Availability::kUnavailable;
}

}  // namespace jackdawrack
