#pragma once

#include <string>
#include <unordered_map>

#include "core/clock.h"
#include "policy/decaying_latency_histogram.h"

namespace jackdawrack {

/// Time to wait for an answer before hedging to another replica, derived from
/// the observed latencies of each route.
class HedgeDelays final {
 public:
  /// Multiple of the median latency. The median is robust when some replicas
  /// stall, whereas a high quantile would grow with the stalls.
  static constexpr double kMedianFactor = 2.0;
  /// Minimum number of answers before the median is used.
  static constexpr double kMinSampleCount = 30;
  /// Delay used while there are too few answers.
  static constexpr Milliseconds kDefaultDelay{25};
  /// Minimum delay; a hedge within one iteration of the event loop has no
  /// benefit.
  static constexpr Milliseconds kMinDelay{8};

  /// Records the latency of an answered first attempt.
  void Record(const std::string& route, Duration latency, TimePoint now);

  /// Forgets the latencies of a route.
  void Forget(const std::string& route) { m_latencies.erase(route); }

  /// Returns the hedge delay for requests of the route.
  [[nodiscard]] Duration DelayFor(const std::string& route) const;

 private:
  std::unordered_map<std::string, DecayingLatencyHistogram> m_latencies;
};

}  // namespace jackdawrack
