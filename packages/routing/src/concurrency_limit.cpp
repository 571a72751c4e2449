#include "routing/concurrency_limit.h"

#include <algorithm>

#include "core/check.h"

namespace jackdawrack {

void ConcurrencyLimit::SetMaximum(std::size_t most) {
  JR_CHECK(most >= 1);
  const bool is_unlimited = m_limit >= static_cast<double>(m_maximum);
  m_maximum = most;
  const auto greatest = static_cast<double>(most);
  m_limit = is_unlimited ? greatest : std::min(m_limit, greatest);
}

void ConcurrencyLimit::RecordAnswer(Duration latency, TimePoint now) {
  m_baseline.Record(latency, now);
  const auto calm = m_baseline.Value();
  if (calm && m_baseline.RecentMean() > *calm * kQueuedFactor + kQueuedMargin) {
    Decrease(now);
    return;
  }
  m_limit =
      std::min(m_limit + kIncreasePerAnswer, static_cast<double>(m_maximum));
}

void ConcurrencyLimit::RecordRefusal(TimePoint now) {
  Decrease(now);
}

void ConcurrencyLimit::Decrease(TimePoint now) {
  if (now - m_last_decrease < kMinDecreaseInterval) {
    return;
  }
  m_last_decrease = now;
  m_limit = std::max(m_limit * kDecreaseFactor, 1.0);
}

std::size_t ConcurrencyLimit::Value() const {
  return static_cast<std::size_t>(m_limit);
}

}  // namespace jackdawrack
