#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/strong_text.h"

namespace jackdawrack {

/// Names a group of interchangeable replicas; a shard is one such group.
using ServiceName = StrongText<struct ServiceNameTag>;

/// Whether a request may run more than once.
enum class Repeatability : std::uint8_t {
  kIdempotent,
  /// At most one run for each attempt of the caller.
  kOnce,
};

/// One target of a route and its share of the requests.
struct WeightedService {
  ServiceName m_service;
  double m_weight = 1;

  friend bool operator==(const WeightedService&,
                         const WeightedService&) = default;
};

/// How the parts of a scattered query become one answer.
struct GatherRule {
  std::vector<ServiceName> m_shards;
  /// Records in the answer at most.
  std::uint32_t m_top_count = 0;
  /// Least share of the shards that an answer has to cover, 0 to 1.
  double m_least_share = 0;

  friend bool operator==(const GatherRule&, const GatherRule&) = default;
};

/// What a caller may ask under one host and path prefix, and how it is served.
struct Route {
  std::string m_name;
  std::string m_host;
  /// Begins and ends with a slash.
  std::string m_prefix;
  Repeatability m_repeatability = Repeatability::kOnce;
  /// Longest time until the final answer.
  Milliseconds m_timeout{0};
  /// An answer within this time is worth most.
  Milliseconds m_target_latency{0};
  /// Rank among routes; 0 is the most urgent.
  std::uint32_t m_priority = 0;
  /// Upstreams of one service, or shard, that an attempt may be sent to.
  std::uint32_t m_max_attempts = 1;
  /// Targets of a single request; empty where the route is scattered.
  std::vector<WeightedService> m_services;
  /// Empty shards where the route is not scattered.
  GatherRule m_gather;

  [[nodiscard]] bool IsScattered() const { return !m_gather.m_shards.empty(); }

  friend bool operator==(const Route&, const Route&) = default;
};

}  // namespace jackdawrack
