#pragma once

#include <string>
#include <unordered_map>

#include "core/clock.h"
#include "policy/decaying_latency_histogram.h"

namespace jackdawrack {

/// How long to wait for an answer before asking another replica, learned from
/// the latencies of each route's requests.
class HedgeDelays final {
 public:
  /// Multiple of the median latency; the median stays put when a part of the
  /// replicas stalls, where a high quantile would grow with the stalls.
  static constexpr double kMedianFactor = 2.0;
  /// Answers needed before the median is used.
  static constexpr double kLeastCount = 30;
  /// Delay until then.
  static constexpr Milliseconds kDefaultDelay{50};
  /// Least delay; a hedge within one turn of the loop gains nothing.
  static constexpr Milliseconds kLeastDelay{8};

  /// Counts how long a first send took until its answer.
  void Record(const std::string& route, Duration latency, TimePoint now);

  /// The delay for requests of the route.
  [[nodiscard]] Duration DelayFor(const std::string& route) const;

 private:
  std::unordered_map<std::string, DecayingLatencyHistogram> m_latencies;
};

}  // namespace jackdawrack
