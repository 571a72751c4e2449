#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "core/clock.h"

namespace jackdawrack {

/// The mean latency of one replica in its calmest second of the recent past, to
/// compare the present with.
class CalmLatency final {
 public:
  /// Length of a slice, and how many are remembered: a burst that lasts longer
  /// passes for calm.
  static constexpr Milliseconds kSlice{1'000};
  static constexpr std::size_t kSlices = 20;
  /// Answers that make a slice's mean count.
  static constexpr std::uint32_t kLeastAnswers = 5;
  /// Share of an answer in the mean of the present.
  static constexpr double kRecentWeight = 0.2;

  /// Counts the latency of one answer.
  void Record(Duration latency, TimePoint now);

  /// The calm latency; nothing while too little was seen.
  [[nodiscard]] std::optional<Duration> Value() const;

  /// Mean of the last few answers.
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
