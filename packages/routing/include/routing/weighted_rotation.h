#pragma once

#include <unordered_map>
#include <vector>

#include "routing/route.h"

namespace jackdawrack {

/// Deals the requests of one route to its targets in proportion to their
/// weights, each as evenly as can be (smooth weighted round robin).
class WeightedRotation final {
 public:
  /// The next target; `targets` is not empty. Keeps its place over changes of
  /// the weights.
  const ServiceName& Next(const std::vector<WeightedService>& targets);

 private:
  std::unordered_map<ServiceName, double> m_credit;
};

}  // namespace jackdawrack
