#include "routing/weighted_round_robin.h"

#include "core/check.h"

namespace jackdawrack {

const ServiceName& WeightedRoundRobin::Next(
    const std::vector<WeightedService>& targets) {
  JR_CHECK(!targets.empty());
  const WeightedService* chosen = nullptr;
  double total = 0;
  for (const WeightedService& target : targets) {
    double& credit = m_current_weights[target.m_service];
    credit += target.m_weight;
    total += target.m_weight;
    if (chosen == nullptr || credit > m_current_weights[chosen->m_service]) {
      chosen = &target;
    }
  }
  m_current_weights[chosen->m_service] -= total;
  return chosen->m_service;
}

}  // namespace jackdawrack
