#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "core/clock.h"
#include "routing/routing_config.h"

namespace jackdawrack {

/// Decides when what was learned about a route is forgotten: once no
/// configuration in force has named the route for `kRetention`. A route that
/// is removed and soon added again keeps its estimates and metrics.
class RouteRetention final {
 public:
  static constexpr std::chrono::minutes kRetention{10};

  /// Records the configuration that is in force from `now` on.
  void Update(const RoutingConfig& config, TimePoint now);

  /// Removes and returns the names of the routes to be forgotten.
  [[nodiscard]] std::vector<std::string> TakeForgotten(TimePoint now);

  /// Number of routes that are in force or not forgotten yet.
  [[nodiscard]] std::size_t Size() const { return m_last_named_at.size(); }

 private:
  /// `TimePoint::max()` for a route in force.
  std::unordered_map<std::string, TimePoint> m_last_named_at;
};

}  // namespace jackdawrack
