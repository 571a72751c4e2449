#include "routing/route_table.h"

#include <algorithm>

#include "core/check.h"
#include "core/hash.h"

namespace jackdawrack {
namespace {

// Independent of the locale.
char ToLower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::vector<ServiceName> ServicesOf(const Route& route) {
  std::vector<ServiceName> services = route.m_gather.m_shards;
  for (const WeightedService& target : route.m_services) {
    services.push_back(target.m_service);
  }
  return services;
}

}  // namespace

std::size_t RouteTable::HostHash::operator()(std::string_view host) const {
  std::uint64_t hash = 0;
  for (const char c : host) {
    hash = MixHash(hash, static_cast<std::uint64_t>(ToLower(c)));
  }
  return hash;
}

bool RouteTable::HostEqual::operator()(std::string_view a,
                                       std::string_view b) const {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return ToLower(x) == ToLower(y); });
}

RouteTable::RouteTable(RoutingConfig config) : m_config(std::move(config)) {
  for (const Route& route : m_config.m_routes) {
    m_hosts[route.m_host].emplace(route.m_prefix, &route);
  }
  for (const ServiceLimits& service : m_config.m_services) {
    m_connection_limits[service.m_name] = service.m_connection_limit;
  }
  ComputeRelativePriorities();
}

void RouteTable::ComputeRelativePriorities() {
  std::unordered_map<ServiceName, std::uint32_t> service_priorities;
  for (const Route& route : m_config.m_routes) {
    for (const ServiceName& service : ServicesOf(route)) {
      const auto it =
          service_priorities.try_emplace(service, route.m_priority).first;
      it->second = std::min(it->second, route.m_priority);
    }
  }
  for (const Route& route : m_config.m_routes) {
    std::uint32_t most_urgent_priority = route.m_priority;
    for (const ServiceName& service : ServicesOf(route)) {
      most_urgent_priority =
          std::min(most_urgent_priority, service_priorities.at(service));
    }
    m_relative_priorities.push_back(route.m_priority - most_urgent_priority);
  }
}

std::uint32_t RouteTable::RelativePriority(const Route& route) const {
  const auto index =
      static_cast<std::size_t>(&route - m_config.m_routes.data());
  JR_CHECK(index < m_relative_priorities.size());
  return m_relative_priorities[index];
}

const Route* RouteTable::Find(std::string_view host,
                              std::string_view path) const {
  const auto prefixes = m_hosts.find(host);
  if (prefixes == m_hosts.end()) {
    return nullptr;
  }

  // Look up the path up to each slash, starting with the longest prefix
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
