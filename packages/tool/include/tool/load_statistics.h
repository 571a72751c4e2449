#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "core/clock.h"
#include "tool/load_outcome.h"

namespace jackdawrack {

/// Counts of how requests ended.
struct LoadCounts {
  std::uint64_t m_sent = 0;
  std::uint64_t m_complete = 0;
  std::uint64_t m_partial = 0;
  std::uint64_t m_refused = 0;
  std::uint64_t m_failed = 0;
  /// Sum of the covered shares of all answered requests.
  double m_coverage_sum = 0;

  /// Mean covered share of answered requests; 0 if none was answered.
  [[nodiscard]] double CoverageShare() const;

  friend bool operator==(const LoadCounts&, const LoadCounts&) = default;
};

/// Quantiles of the latency of answered requests, in milliseconds.
struct LoadLatency {
  double m_p50_ms = 0;
  double m_p99_ms = 0;
  double m_p999_ms = 0;

  friend bool operator==(const LoadLatency&, const LoadLatency&) = default;
};

/// Outcomes and latencies of some requests, in a Boost.Histogram whose buckets
/// are 1.5 % wide.
class LoadStatistics final {
 public:
  LoadStatistics();
  ~LoadStatistics();

  LoadStatistics(LoadStatistics&&) noexcept;
  LoadStatistics& operator=(LoadStatistics&&) noexcept;

  /// Counts one request; only complete and partial ones count in the latency.
  void Record(const LoadReply& reply, Duration latency);

  [[nodiscard]] const LoadCounts& Counts() const { return m_counts; }
  [[nodiscard]] LoadLatency Latency() const;

 private:
  struct Cells;

  [[nodiscard]] double QuantileMs(double quantile) const;

  LoadCounts m_counts;
  std::unique_ptr<Cells> m_cells;
};

}  // namespace jackdawrack
