#include "routing/gather_progress.h"

#include <algorithm>
#include <cmath>

#include "core/check.h"

namespace jackdawrack {
namespace {

/// Compensates for floating-point error, so that a share of 0.9 of 10 parts
/// does not round up to 10.
constexpr double kRoundingSlack = 1e-9;

}  // namespace

std::uint32_t LeastParts(std::uint32_t parts, double least_share) {
  const double wanted = std::ceil(parts * least_share - kRoundingSlack);
  return std::clamp(static_cast<std::uint32_t>(std::max(wanted, 1.0)), 1U,
                    parts);
}

GatherProgress::GatherProgress(std::uint32_t parts,
                               double least_share,
                               GatherTiming timing)
    : m_parts(parts),
      m_least_parts(LeastParts(parts, least_share)),
      m_timing(timing) {
  JR_CHECK(parts >= 1);
}

void GatherProgress::NoteCovered() {
  JR_CHECK(Pending() > 0);
  ++m_covered;
}

void GatherProgress::NoteLost() {
  JR_CHECK(Pending() > 0);
  ++m_lost;
}

GatherVerdict GatherProgress::Decide(TimePoint now) const {
  const bool is_enough = m_covered >= m_least_parts;
  if (is_enough && (Pending() == 0 || now >= m_timing.m_partial_at)) {
    return GatherVerdict::kAnswer;
  }
  if (m_covered + Pending() < m_least_parts || now >= m_timing.m_final_at) {
    return GatherVerdict::kFail;
  }
  return GatherVerdict::kWait;
}

TimePoint GatherProgress::NextDecisionAt(TimePoint now) const {
  if (now < m_timing.m_partial_at) {
    return std::min(m_timing.m_partial_at, m_timing.m_final_at);
  }
  return m_timing.m_final_at;
}

}  // namespace jackdawrack
