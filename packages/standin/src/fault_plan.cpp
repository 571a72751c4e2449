#include "fault_plan.h"

namespace jackdawrack {
namespace {

/// The least retransmission timeout of the usual TCP stack.
constexpr Milliseconds kStall{200};
constexpr std::uint32_t kPerMille = 1000;

}  // namespace

bool FaultPlan::Has(ProxyFault fault,
                    const ProxyLink& link,
                    const std::string& source) const {
  for (const FaultRule& rule : m_rules) {
    if (rule.m_fault == fault && rule.m_match.Matches(link, source)) {
      return true;
    }
  }
  return false;
}

Milliseconds FaultPlan::DrawDelay(const ProxyLink& link,
                                  const std::string& source) {
  Milliseconds delay{0};
  for (const FaultRule& rule : m_rules) {
    if (rule.m_fault != ProxyFault::kDelay ||
        !rule.m_match.Matches(link, source)) {
      continue;
    }
    delay += rule.m_delay;
    if (rule.m_jitter.count() > 0) {
      delay += Milliseconds(m_random() % (rule.m_jitter.count() + 1));
    }
    if (DrawPerMille(rule.m_stalls_per_mille)) {
      delay += kStall;
    }
  }
  return delay;
}

bool FaultPlan::DrawShuffle(const ProxyLink& link, const std::string& source) {
  for (const FaultRule& rule : m_rules) {
    if (rule.m_fault == ProxyFault::kShuffleFrames &&
        rule.m_match.Matches(link, source)) {
      return DrawPerMille(rule.m_shuffled_per_mille);
    }
  }
  return false;
}

bool FaultPlan::DrawPerMille(std::uint32_t share) {
  return share > 0 && m_random() % kPerMille < share;
}

}  // namespace jackdawrack
