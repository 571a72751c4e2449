#pragma once

#include <cstdint>

#include "core/clock.h"

namespace jackdawrack {

/// Returns the minimum number of parts that an answer must contain to cover
/// `min_coverage` (0 to 1) of `parts`; at least 1.
[[nodiscard]] std::uint32_t RequiredParts(std::uint32_t parts,
                                          double min_coverage);

/// Deadlines of a scattered query.
struct GatherDeadlines {
  /// Soft deadline: from this time on, a partial answer with sufficient
  /// coverage is returned.
  TimePoint m_soft_deadline{};
  /// Final deadline: the query fails if it has not been answered by this time.
  TimePoint m_final_deadline{};
};

/// Next action for a scattered query.
enum class GatherDecision : std::uint8_t {
  /// Wait for more parts.
  kWait,
  /// Answer with the parts received so far.
  kAnswer,
  /// Fail: sufficient coverage cannot be reached any more, or the final
  /// deadline has passed.
  kFail,
};

/// Tracks the parts of a scattered query and decides when it completes.
class GatherProgress final {
 public:
  /// `parts` is at least 1; `min_coverage` is from 0 to 1.
  GatherProgress(std::uint32_t parts,
                 double min_coverage,
                 GatherDeadlines deadlines);

  /// Records that a part was answered.
  void RecordAnswered();

  /// Records that a part failed and will not be answered.
  void RecordFailed();

  /// Returns the next action at `now`.
  [[nodiscard]] GatherDecision Decide(TimePoint now) const;

  /// Returns the next time at which `Decide` may change its result without a
  /// part being recorded.
  [[nodiscard]] TimePoint NextDecisionAt(TimePoint now) const;

  /// Returns the number of answered parts.
  [[nodiscard]] std::uint32_t AnsweredParts() const { return m_answered_parts; }

  /// Returns the number of parts that have not been answered.
  [[nodiscard]] std::uint32_t MissingParts() const {
    return m_parts - m_answered_parts;
  }

 private:
  [[nodiscard]] std::uint32_t PendingParts() const {
    return m_parts - m_answered_parts - m_failed_parts;
  }

  const std::uint32_t m_parts;
  const std::uint32_t m_required_parts;
  const GatherDeadlines m_deadlines;
  std::uint32_t m_answered_parts = 0;
  std::uint32_t m_failed_parts = 0;
};

}  // namespace jackdawrack
