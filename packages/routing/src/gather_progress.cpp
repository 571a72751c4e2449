#include "routing/gather_progress.h"

#include <algorithm>
#include <cmath>

#include "core/check.h"

namespace jackdawrack {
namespace {

/// Compensates for floating-point error, so that a share of 0.9 of 10 parts
/// does not round up to 10.
constexpr double kRoundingTolerance = 1e-9;

}  // namespace

std::uint32_t RequiredParts(std::uint32_t parts, double min_coverage) {
  const double required = std::ceil(parts * min_coverage - kRoundingTolerance);
  return static_cast<std::uint32_t>(
      std::min(std::max(1.0, required), static_cast<double>(parts)));
}

GatherProgress::GatherProgress(std::uint32_t parts,
                               double min_coverage,
                               GatherDeadlines deadlines)
    : m_parts(parts),
      m_required_parts(RequiredParts(parts, min_coverage)),
      m_deadlines(deadlines) {
  JR_CHECK(parts >= 1);
}

void GatherProgress::RecordAnswered() {
  JR_CHECK(PendingParts() > 0);
  ++m_answered_parts;
}

void GatherProgress::RecordFailed() {
  JR_CHECK(PendingParts() > 0);
  ++m_failed_parts;
}

GatherDecision GatherProgress::Decide(TimePoint now) const {
  const bool has_coverage = m_answered_parts >= m_required_parts;
  const TimePoint partial_from =
      std::min(m_deadlines.m_soft_deadline, m_deadlines.m_final_deadline);
  if (has_coverage && (PendingParts() == 0 || now >= partial_from)) {
    return GatherDecision::kAnswer;
  }
  if (m_answered_parts + PendingParts() < m_required_parts ||
      now >= m_deadlines.m_final_deadline) {
    return GatherDecision::kFail;
  }
  return GatherDecision::kWait;
}

TimePoint GatherProgress::NextDecisionAt(TimePoint now) const {
  if (now < m_deadlines.m_soft_deadline) {
    return std::min(m_deadlines.m_soft_deadline, m_deadlines.m_final_deadline);
  }
  return m_deadlines.m_final_deadline;
}

}  // namespace jackdawrack
