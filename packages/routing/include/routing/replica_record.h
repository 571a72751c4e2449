#pragma once

#include <cstdint>

#include "core/clock.h"
#include "model/endpoint.h"
#include "model/ids.h"
#include "routing/route.h"

namespace jackdawrack {

/// Identifies the process of an upstream and the version of its record. Ordered
/// by start time, then by sequence; greater is newer.
struct Incarnation {
  /// Start time of the process, in milliseconds of its own clock; 0 if not
  /// published.
  std::uint64_t m_started_ms = 0;
  /// Incremented by the upstream each time it publishes its record.
  std::uint64_t m_sequence = 0;

  friend auto operator<=>(const Incarnation&, const Incarnation&) = default;
  friend bool operator==(const Incarnation&, const Incarnation&) = default;
};

/// Record that an upstream publishes about itself as a replica of one service.
struct ReplicaRecord {
  UpstreamId m_id;
  ServiceName m_service;
  Endpoint m_endpoint;
  FailureDomain m_domain;
  Incarnation m_incarnation;
  /// Number of requests that it runs concurrently.
  std::uint32_t m_slots = 1;
  /// True if the upstream accepts no new requests and will shut down.
  bool m_draining = false;
  /// Time after publication for which the upstream is still slow because it has
  /// started recently.
  Milliseconds m_cold_time{0};

  friend bool operator==(const ReplicaRecord&, const ReplicaRecord&) = default;
};

}  // namespace jackdawrack
