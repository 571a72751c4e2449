#include "routing/weighted_round_robin.h"

#include <algorithm>

#include "core/check.h"

namespace jackdawrack {
namespace {

// The greatest weight, or 1 if all are zero.
double GreatestWeight(const std::vector<WeightedService>& targets) {
  const auto greatest = std::max_element(
      targets.begin(), targets.end(),
      [](const auto& a, const auto& b) { return a.m_weight < b.m_weight; });
  return greatest->m_weight > 0 ? greatest->m_weight : 1;
}

}  // namespace

const ServiceName& WeightedRoundRobin::Next(
    const std::vector<WeightedService>& targets) {
  JR_CHECK(!targets.empty());
  // Shares of one request, so that what is left of earlier weights is less than
  // a few requests whatever their size
  const double greatest = GreatestWeight(targets);
  double total = 0;
  for (const WeightedService& target : targets) {
    total += target.m_weight / greatest;
  }
  const WeightedService* chosen = nullptr;
  for (const WeightedService& target : targets) {
    double& current_weight = m_current_weights[target.m_service];
    if (total > 0) {
      current_weight += target.m_weight / greatest / total;
    }
    if (chosen == nullptr ||
        current_weight > m_current_weights[chosen->m_service]) {
      chosen = &target;
    }
  }
  if (total > 0) {
    m_current_weights[chosen->m_service] -= 1;
  }
  return chosen->m_service;
}

}  // namespace jackdawrack
