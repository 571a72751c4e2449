#pragma once

#include <cstdint>
#include <vector>

#include "core/clock.h"
#include "routing/route.h"

namespace jackdawrack {

/// Published limits of one service.
struct ServiceLimits {
  ServiceName m_name;
  /// Number of connections that each of its upstreams accepts from all
  /// instances together.
  std::uint32_t m_connection_limit = 1;

  friend bool operator==(const ServiceLimits&, const ServiceLimits&) = default;
};

/// Limits on the requests and connections of callers.
struct CallerLimits {
  std::uint32_t m_max_header_bytes = 16 << 10;
  std::uint64_t m_max_body_bytes = 1 << 20;
  /// Maximum time to receive the head of a request.
  Milliseconds m_header_timeout{3'000};
  /// Time after which an idle connection is closed.
  Milliseconds m_idle_timeout{60'000};

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

/// One published version of the routes, services and limits.
struct RoutingConfig {
  std::uint64_t m_version = 0;
  std::vector<Route> m_routes;
  std::vector<ServiceLimits> m_services;
  CallerLimits m_limits;

  friend bool operator==(const RoutingConfig&, const RoutingConfig&) = default;
};

}  // namespace jackdawrack
