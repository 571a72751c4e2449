#pragma once

#include <cstdint>

#include "core/clock.h"

namespace jackdawrack {

/// Parts of a query that an answer has to hold at least, 1 or more.
[[nodiscard]] std::uint32_t LeastParts(std::uint32_t parts, double least_share);

/// Moments that bound a scattered query.
struct GatherTiming {
  /// From here on an answer that covers enough is given as it is.
  TimePoint m_partial_at{};
  /// The final answer is due.
  TimePoint m_final_at{};
};

/// What to do with a scattered query now.
enum class GatherVerdict : std::uint8_t {
  kWait,
  /// Answer with the parts that are there.
  kAnswer,
  /// Too few parts can still come, or the time is over.
  kFail,
};

/// Counts the parts of a scattered query and decides when it ends.
class GatherProgress final {
 public:
  GatherProgress(std::uint32_t parts, double least_share, GatherTiming timing);

  /// A part has been answered.
  void NoteCovered();

  /// A part will not be answered.
  void NoteLost();

  [[nodiscard]] GatherVerdict Decide(TimePoint now) const;

  /// Next moment at which the verdict may change without an event.
  [[nodiscard]] TimePoint NextDecisionAt(TimePoint now) const;

  [[nodiscard]] std::uint32_t Covered() const { return m_covered; }
  [[nodiscard]] std::uint32_t Missing() const { return m_parts - m_covered; }

 private:
  [[nodiscard]] std::uint32_t Pending() const {
    return m_parts - m_covered - m_lost;
  }

  const std::uint32_t m_parts;
  const std::uint32_t m_least_parts;
  const GatherTiming m_timing;
  std::uint32_t m_covered = 0;
  std::uint32_t m_lost = 0;
};

}  // namespace jackdawrack
