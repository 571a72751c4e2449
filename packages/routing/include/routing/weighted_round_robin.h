#pragma once

#include <unordered_map>
#include <vector>

#include "routing/route.h"

namespace jackdawrack {

/// Distributes the requests of one route among its targets in proportion to
/// their weights, spread as evenly as possible (smooth weighted round robin).
class WeightedRoundRobin final {
 public:
  /// Returns the next target; `targets` must not be empty. The state is kept
  /// when weights change.
  const ServiceName& Next(const std::vector<WeightedService>& targets);

 private:
  std::unordered_map<ServiceName, double> m_current_weights;
};

}  // namespace jackdawrack
