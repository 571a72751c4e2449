#pragma once

#include <array>
#include <cstddef>

#include "core/clock.h"

namespace jackdawrack {

/// Notices that this instance runs much slower than usual, from the durations
/// of a small piece of work that is always the same.
///
/// The median of the last durations counts, so that neither a few interruptions
/// nor a duration that the clock did not resolve do. The usual duration is the
/// least of these medians, which rises slowly so that a lasting change becomes
/// the usual state.
class LocalHealth final {
 public:
  /// Number of durations of which the median is taken.
  static constexpr std::size_t kSampleCount = 5;
  /// Multiple of the usual duration from which on the instance is slow, and
  /// below which it is no longer.
  static constexpr double kSlowFactor = 3.0;
  static constexpr double kRecoveredFactor = 2.0;
  /// Factor by which the usual duration rises with each sample.
  static constexpr double kUsualRise = 1.002;

  /// Records how long the work took.
  void Record(Duration duration);

  /// True while the instance is slow.
  [[nodiscard]] bool IsSlow() const { return m_is_slow; }

  /// The median of the last durations, as a multiple of the usual one; 1 until
  /// there are enough.
  [[nodiscard]] double Slowness() const;

 private:
  [[nodiscard]] Duration Median() const;

  std::array<Duration, kSampleCount> m_samples{};
  std::size_t m_count = 0;
  Duration m_usual{};
  bool m_is_slow = false;
};

}  // namespace jackdawrack
