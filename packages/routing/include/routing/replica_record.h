#pragma once

#include <cstdint>

#include "core/clock.h"
#include "model/endpoint.h"
#include "model/ids.h"
#include "routing/route.h"

namespace jackdawrack {

/// Which start of an upstream a record speaks of; a greater birth is newer,
/// within one birth a greater sequence is.
struct Incarnation {
  /// When the process started, in milliseconds of its own clock; 0 if unsaid.
  std::uint64_t m_birth = 0;
  /// Counted up by the upstream with each report.
  std::uint64_t m_sequence = 0;

  friend auto operator<=>(const Incarnation&, const Incarnation&) = default;
  friend bool operator==(const Incarnation&, const Incarnation&) = default;
};

/// What an upstream published of itself: a replica of one service.
struct ReplicaRecord {
  UpstreamId m_id;
  ServiceName m_service;
  Endpoint m_endpoint;
  FailureDomain m_domain;
  Incarnation m_incarnation;
  /// Requests that it runs at once.
  std::uint32_t m_slots = 1;
  /// It takes no new work and will leave.
  bool m_draining = false;
  /// Time after the report during which it is slow since it has just started.
  Milliseconds m_cold_time{0};

  friend bool operator==(const ReplicaRecord&, const ReplicaRecord&) = default;
};

}  // namespace jackdawrack
