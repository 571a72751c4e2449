#include "routing/standing_queue.h"

namespace jackdawrack {

bool StandingQueue::HasEnded(TimePoint now) const {
  return !m_is_waiting && now - m_last_waiting_at >= kEmptyTime;
}

void StandingQueue::Update(bool is_waiting, TimePoint now) {
  if (is_waiting && HasEnded(now)) {
    m_started_at = now;
  }
  if (is_waiting || m_is_waiting) {
    m_last_waiting_at = now;
  }
  m_is_waiting = is_waiting;
}

bool StandingQueue::IsStanding(TimePoint now) const {
  return !HasEnded(now) && now - m_started_at >= kMinStandingTime;
}

}  // namespace jackdawrack
