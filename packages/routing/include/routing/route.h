#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/strong_text.h"

namespace jackdawrack {

/// Name of a group of interchangeable replicas; a shard is such a group.
using ServiceName = StrongText<struct ServiceNameTag>;

/// Whether a request may be executed more than once.
enum class Repeatability : std::uint8_t {
  kIdempotent,
  /// At most one execution per attempt of the caller.
  kAtMostOnce,
};

/// One target service of a route and its relative share of the requests.
struct WeightedService {
  ServiceName m_service;
  double m_weight = 1;

  friend bool operator==(const WeightedService&,
                         const WeightedService&) = default;
};

/// How the answers of the shards of a scattered query are merged.
struct GatherRule {
  std::vector<ServiceName> m_shards;
  /// Maximum number of records in the answer.
  std::uint32_t m_max_records = 0;
  /// Minimum fraction of the shards that an answer must cover, 0 to 1.
  double m_min_coverage = 0;

  friend bool operator==(const GatherRule&, const GatherRule&) = default;
};

/// Requests to one host and path prefix, and how they are served.
struct Route {
  std::string m_name;
  std::string m_host;
  /// Path prefix; starts and ends with a slash.
  std::string m_prefix;
  Repeatability m_repeatability = Repeatability::kAtMostOnce;
  /// Maximum time until the answer.
  Milliseconds m_timeout{0};
  /// Answers within this time have full value.
  Milliseconds m_target_latency{0};
  /// Priority among all routes; 0 is the most urgent.
  std::uint32_t m_priority = 0;
  /// Maximum number of upstreams of one service or shard that a caller's
  /// request may be sent to.
  std::uint32_t m_max_attempts = 1;
  /// Target services of a route that is not scattered; empty otherwise.
  std::vector<WeightedService> m_services;
  /// Its shards are empty if the route is not scattered.
  GatherRule m_gather;

  /// Returns true if a request is sent to all shards and their answers are
  /// merged.
  [[nodiscard]] bool IsScattered() const { return !m_gather.m_shards.empty(); }

  friend bool operator==(const Route&, const Route&) = default;
};

}  // namespace jackdawrack
