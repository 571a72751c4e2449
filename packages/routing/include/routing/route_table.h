#pragma once

#include <memory>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

#include "routing/routing_config.h"

namespace jackdawrack {

/// The routes of one configuration version, indexed for lookup; immutable. A
/// request holds the table that it began with until it ends.
class RouteTable final {
 public:
  explicit RouteTable(RoutingConfig config);

  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  [[nodiscard]] std::uint64_t Version() const { return m_config.m_version; }
  [[nodiscard]] const CallerLimits& Limits() const { return m_config.m_limits; }
  [[nodiscard]] const RoutingConfig& Config() const { return m_config; }

  /// The route of `host` with the longest prefix of `path`, or null. The query
  /// of a target is not part of its path.
  [[nodiscard]] const Route* Find(std::string_view host,
                                  std::string_view path) const;

  /// By how much another route that asks the same service, or one of the same
  /// shards, is more urgent; `route` is one of this table.
  [[nodiscard]] std::uint32_t RankOf(const Route& route) const;

  /// Connections that an upstream of the service accepts; 1 if unknown.
  [[nodiscard]] std::uint32_t ConnectionLimit(const ServiceName& service) const;

 private:
  void RankRoutes();

  using PrefixIndex = std::unordered_map<std::string_view, const Route*>;

  const RoutingConfig m_config;
  std::unordered_map<std::string_view, PrefixIndex> m_hosts;
  std::unordered_map<ServiceName, std::uint32_t> m_connection_limits;
  /// Rank of each route, in their order.
  std::vector<std::uint32_t> m_ranks;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

}  // namespace jackdawrack
