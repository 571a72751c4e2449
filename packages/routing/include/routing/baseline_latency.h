#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "core/clock.h"

namespace jackdawrack {

/// Baseline latency of one replica: the lowest per-second mean latency of the
/// last 20 seconds. Compared with the recent mean to detect queueing.
class BaselineLatency final {
 public:
  /// Length and number of the time buckets. Load that stays high for longer
  /// than all buckets together raises the baseline.
  static constexpr Milliseconds kBucketLength{1'000};
  static constexpr std::size_t kBucketCount = 20;
  /// Minimum number of answers in a bucket for its mean to be used.
  static constexpr std::uint32_t kMinAnswers = 5;
  /// Weight of a new sample in the moving average of recent latencies.
  static constexpr double kRecentMeanWeight = 0.2;

  /// Records the latency of one answer.
  void Record(Duration latency, TimePoint now);

  /// Returns the baseline latency, or no value if no recent bucket has enough
  /// answers.
  [[nodiscard]] std::optional<Duration> Value() const;

  /// Returns the exponentially weighted mean latency of recent answers.
  [[nodiscard]] Duration RecentMean() const { return m_recent_mean; }

 private:
  struct Bucket {
    std::int64_t m_index = -1;
    std::uint32_t m_answers = 0;
    Duration m_sum{};
  };

  std::array<Bucket, kBucketCount> m_buckets{};
  std::int64_t m_last_index = -1;
  Duration m_recent_mean{};
};

}  // namespace jackdawrack
