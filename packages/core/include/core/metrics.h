#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "core/clock.h"
#include "core/ranked_mutex.h"

namespace jackdawrack {

/// A number that only grows.
class Counter final {
 public:
  void Add(std::uint64_t amount = 1) {
    m_value.fetch_add(amount, std::memory_order_relaxed);
  }
  [[nodiscard]] std::uint64_t Value() const {
    return m_value.load(std::memory_order_relaxed);
  }

 private:
  std::atomic<std::uint64_t> m_value{0};
};

/// Counts durations in buckets whose width grows with the value, from 0.1 ms
/// to 100 s; kept in a Boost.Histogram with atomic cells.
class LatencyHistogram final {
 public:
  LatencyHistogram();
  ~LatencyHistogram();

  /// Counts one duration.
  void Record(Duration duration);

  /// The duration below which `quantile` (0 to 1) of the counts lie, in
  /// milliseconds; 0 if nothing was counted.
  [[nodiscard]] double QuantileMs(double quantile) const;

  [[nodiscard]] std::uint64_t Count() const;

  /// Appends the buckets as a Prometheus histogram.
  void WriteText(const std::string& name,
                 const std::string& labels,
                 std::string& out) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

/// All metrics of one process, by name and labels.
class MetricsRegistry final {
 public:
  /// `labels` is Prometheus text without braces, such as `customer="a"`. The
  /// reference stays valid until the metric is forgotten.
  Counter& CounterFor(const std::string& name, const std::string& labels = {});
  LatencyHistogram& HistogramFor(const std::string& name,
                                 const std::string& labels = {});

  /// Removes all metrics whose labels begin with the label `label`, such as
  /// `route="a"`.
  void Forget(const std::string& label);

  /// All metrics in the Prometheus text format.
  [[nodiscard]] std::string ToText();

 private:
  struct Key {
    std::string m_name;
    std::string m_labels;
    friend auto operator<=>(const Key&, const Key&) = default;
  };

  RankedMutex m_mutex{LockRank::kMetrics};
  std::map<Key, std::unique_ptr<Counter>> m_counters;
  std::map<Key, std::unique_ptr<LatencyHistogram>> m_histograms;
};

}  // namespace jackdawrack
