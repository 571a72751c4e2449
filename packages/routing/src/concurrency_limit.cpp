#include "routing/concurrency_limit.h"

#include <algorithm>

#include "core/check.h"

namespace jackdawrack {

void ConcurrencyLimit::SetMaximum(std::size_t maximum) {
  JR_CHECK(maximum >= 1);
  const bool is_at_maximum = m_limit >= static_cast<double>(m_maximum);
  m_maximum = maximum;
  const auto new_limit = static_cast<double>(maximum);
  m_limit = is_at_maximum ? new_limit : std::min(m_limit, new_limit);
}

void ConcurrencyLimit::RecordAnswer(Duration latency, TimePoint now) {
  m_baseline.Record(latency, now);
  const auto baseline = m_baseline.Value();
  if (baseline &&
      m_baseline.RecentMean() > *baseline * kQueuedFactor + kQueuedMargin) {
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
