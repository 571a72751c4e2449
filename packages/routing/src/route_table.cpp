#include "routing/route_table.h"

namespace jackdawrack {

RouteTable::RouteTable(RoutingConfig config) : m_config(std::move(config)) {
  for (const Route& route : m_config.m_routes) {
    m_hosts[route.m_host].emplace(route.m_prefix, &route);
  }
  for (const ServiceLimits& service : m_config.m_services) {
    m_connection_limits[service.m_name] = service.m_connection_limit;
  }
}

const Route* RouteTable::Find(std::string_view host,
                              std::string_view path) const {
  const auto prefixes = m_hosts.find(host);
  if (prefixes == m_hosts.end()) {
    return nullptr;
  }

  // Try the path up to each slash, the longest first
  std::size_t slash = path.rfind('/');
  while (slash != std::string_view::npos) {
    const auto found = prefixes->second.find(path.substr(0, slash + 1));
    if (found != prefixes->second.end()) {
      return found->second;
    }
    if (slash == 0) {
      return nullptr;
    }
    slash = path.rfind('/', slash - 1);
  }
  return nullptr;
}

std::uint32_t RouteTable::ConnectionLimit(const ServiceName& service) const {
  const auto found = m_connection_limits.find(service);
  return found == m_connection_limits.end() ? 1 : found->second;
}

}  // namespace jackdawrack
