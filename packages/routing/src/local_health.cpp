#include "routing/local_health.h"

#include <algorithm>

namespace jackdawrack {

void LocalHealth::Record(Duration duration) {
  m_samples[m_count % kSampleCount] = duration;
  ++m_count;
  if (m_count < kSampleCount) {
    return;
  }
  const Duration risen(static_cast<Duration::rep>(
      static_cast<double>(m_usual.count()) * kUsualRise));
  const Duration median = Median();
  m_usual = m_count == kSampleCount ? median : std::min(risen, median);
  m_is_slow = Slowness() >= (m_is_slow ? kRecoveredFactor : kSlowFactor);
}

double LocalHealth::Slowness() const {
  if (m_count < kSampleCount || m_usual <= Duration::zero()) {
    return 1;
  }
  return static_cast<double>(Median().count()) /
         static_cast<double>(m_usual.count());
}

Duration LocalHealth::Median() const {
  auto sorted = m_samples;
  const auto middle = sorted.begin() + kSampleCount / 2;
  std::nth_element(sorted.begin(), middle, sorted.end());
  return *middle;
}

}  // namespace jackdawrack
