#pragma once

#include <memory>
#include <optional>

#include "core/clock.h"

namespace jackdawrack {

/// Histogram of recent latencies. The first record after each half-life halves
/// all counts, so that old latencies lose weight. Not thread-safe.
class DecayingLatencyHistogram final {
 public:
  explicit DecayingLatencyHistogram(
      Milliseconds half_life = Milliseconds(2'000));
  ~DecayingLatencyHistogram();
  DecayingLatencyHistogram(DecayingLatencyHistogram&&) noexcept;
  DecayingLatencyHistogram& operator=(DecayingLatencyHistogram&&) noexcept;

  /// Adds one latency.
  void Record(Duration latency, TimePoint now);

  /// Returns the given quantile (0 to 1), rounded up to a bucket boundary and
  /// limited to 100 s; `nullopt` if the decayed count is below `min_count`.
  [[nodiscard]] std::optional<Duration> Quantile(double quantile,
                                                 double min_count) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace jackdawrack
