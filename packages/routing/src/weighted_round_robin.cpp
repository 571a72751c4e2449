#include "routing/weighted_round_robin.h"

#include "core/check.h"

namespace jackdawrack {

const ServiceName& WeightedRoundRobin::Next(
    const std::vector<WeightedService>& targets) {
  JR_CHECK(!targets.empty());
  const WeightedService* chosen = nullptr;
  double total_weight = 0;
  for (const WeightedService& target : targets) {
    double& current_weight = m_current_weights[target.m_service];
    current_weight += target.m_weight;
    total_weight += target.m_weight;
    if (chosen == nullptr ||
        current_weight > m_current_weights[chosen->m_service]) {
      chosen = &target;
    }
  }
  m_current_weights[chosen->m_service] -= total_weight;
  return chosen->m_service;
}

}  // namespace jackdawrack
