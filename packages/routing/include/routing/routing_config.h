#pragma once

#include <cstdint>
#include <vector>

#include "core/clock.h"
#include "routing/route.h"

namespace jackdawrack {

/// What is published of one service.
struct ServiceLimits {
  ServiceName m_name;
  /// Connections that each of its upstreams accepts from all instances.
  std::uint32_t m_connection_limit = 1;

  friend bool operator==(const ServiceLimits&, const ServiceLimits&) = default;
};

/// Bounds on what a caller may send.
struct CallerLimits {
  std::uint32_t m_max_header_bytes = 16 << 10;
  std::uint64_t m_max_body_bytes = 1 << 20;
  Milliseconds m_header_timeout{3'000};
  Milliseconds m_idle_timeout{60'000};

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

/// One published version of all routes, services and limits.
struct RoutingConfig {
  std::uint64_t m_version = 0;
  std::vector<Route> m_routes;
  std::vector<ServiceLimits> m_services;
  CallerLimits m_limits;

  friend bool operator==(const RoutingConfig&, const RoutingConfig&) = default;
};

}  // namespace jackdawrack
