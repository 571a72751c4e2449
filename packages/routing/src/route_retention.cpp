#include "routing/route_retention.h"

#include <algorithm>

namespace jackdawrack {

void RouteRetention::Update(const RoutingConfig& config, TimePoint now) {
  for (auto& [name, last_named_at] : m_last_named_at) {
    last_named_at = std::min(last_named_at, now);
  }
  for (const Route& route : config.m_routes) {
    m_last_named_at[route.m_name] = TimePoint::max();
  }
}

std::vector<std::string> RouteRetention::TakeForgotten(TimePoint now) {
  std::vector<std::string> forgotten;
  std::erase_if(m_last_named_at, [&](const auto& item) {
    if (item.second > now || now - item.second < kRetention) {
      return false;
    }
    forgotten.push_back(item.first);
    return true;
  });
  return forgotten;
}

}  // namespace jackdawrack
