#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "core/clock.h"

namespace jackdawrack {

/// Baseline latency of one replica: the lowest per-second mean latency of the
/// last 20 seconds. Compared with the recent mean to detect queueing.
class CalmLatency final {
 public:
  /// Length and number of the time buckets. Load that stays high for longer
  /// than all buckets together raises the baseline.
  static constexpr Milliseconds kSlice{1'000};
  static constexpr std::size_t kSlices = 20;
  /// Minimum number of answers in a bucket for its mean to be used.
  static constexpr std::uint32_t kLeastAnswers = 5;
  /// Weight of a new sample in the moving average of recent latencies.
  static constexpr double kRecentWeight = 0.2;

  /// Records the latency of one answer.
  void Record(Duration latency, TimePoint now);

  /// Returns the baseline latency, or no value if no recent bucket has enough
  /// answers.
  [[nodiscard]] std::optional<Duration> Value() const;

  /// Returns the exponentially weighted mean latency of recent answers.
  [[nodiscard]] Duration Recent() const { return m_recent; }

 private:
  struct Slice {
    std::int64_t m_number = -1;
    std::uint32_t m_answers = 0;
    Duration m_sum{};
  };

  std::array<Slice, kSlices> m_slices{};
  std::int64_t m_last_number = -1;
  Duration m_recent{};
};

}  // namespace jackdawrack
