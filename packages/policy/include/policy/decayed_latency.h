#pragma once

#include <memory>
#include <optional>

#include "core/clock.h"

namespace jackdawrack {

/// Latencies of the recent past in a Boost.Histogram whose counts are halved
/// once a half-life. Not safe for several threads.
class DecayedLatency final {
 public:
  explicit DecayedLatency(Milliseconds half_life = Milliseconds(2'000));
  ~DecayedLatency();
  DecayedLatency(DecayedLatency&&) noexcept;
  DecayedLatency& operator=(DecayedLatency&&) noexcept;

  /// Counts one latency.
  void Record(Duration latency, TimePoint now);

  /// The latency below which `quantile` (0 to 1) of the counts lie; nothing
  /// while fewer than `least_count` are in the histogram.
  [[nodiscard]] std::optional<Duration> Quantile(double quantile,
                                                 double least_count) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace jackdawrack
