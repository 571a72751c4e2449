#pragma once

#include <memory>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

#include "routing/routing_config.h"

namespace jackdawrack {

/// Immutable, indexed routes of one configuration version. A request keeps the
/// table that it started with until it completes.
class RouteTable final {
 public:
  explicit RouteTable(RoutingConfig config);

  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  [[nodiscard]] std::uint64_t Version() const { return m_config.m_version; }
  [[nodiscard]] const CallerLimits& Limits() const { return m_config.m_limits; }
  [[nodiscard]] const RoutingConfig& Config() const { return m_config; }

  /// Returns the route of `host`, in any case, with the longest matching prefix
  /// of `path`, or null. `path` must not contain the query component of the
  /// request target.
  [[nodiscard]] const Route* Find(std::string_view host,
                                  std::string_view path) const;

  /// Returns the difference between the priority of `route` and that of the
  /// most urgent route that uses one of the same services or shards. `route`
  /// must belong to this table.
  [[nodiscard]] std::uint32_t RelativePriority(const Route& route) const;

  /// Returns the number of connections that each upstream of the service
  /// accepts; 1 if the service is unknown.
  [[nodiscard]] std::uint32_t ConnectionLimit(const ServiceName& service) const;

 private:
  void ComputeRelativePriorities();

  struct HostHash {
    std::size_t operator()(std::string_view host) const;
  };
  struct HostEqual {
    bool operator()(std::string_view a, std::string_view b) const;
  };
  using PrefixIndex = std::unordered_map<std::string_view, const Route*>;

  const RoutingConfig m_config;
  std::unordered_map<std::string_view, PrefixIndex, HostHash, HostEqual>
      m_hosts;
  std::unordered_map<ServiceName, std::uint32_t> m_connection_limits;
  /// Relative priority of each route, in configuration order.
  std::vector<std::uint32_t> m_relative_priorities;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

}  // namespace jackdawrack
