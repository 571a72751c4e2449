#include "routing/hedge_delays.h"

#include <algorithm>

namespace jackdawrack {

void HedgeDelays::Record(const std::string& route,
                         Duration latency,
                         TimePoint now) {
  m_latencies[route].Record(latency, now);
}

Duration HedgeDelays::DelayFor(const std::string& route) const {
  const auto found = m_latencies.find(route);
  if (found == m_latencies.end()) {
    return kDefaultDelay;
  }
  const auto median = found->second.Quantile(0.5, kMinSampleCount);
  if (!median) {
    return kDefaultDelay;
  }
  const auto delay = Duration(static_cast<Duration::rep>(
      static_cast<double>(median->count()) * kMedianFactor));
  return std::max<Duration>(kMinDelay, delay);
}

}  // namespace jackdawrack
