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
  const auto quantile = found->second.Quantile(kQuantile, kLeastCount);
  return std::max<Duration>(kLeastDelay, quantile.value_or(kDefaultDelay));
}

}  // namespace jackdawrack
