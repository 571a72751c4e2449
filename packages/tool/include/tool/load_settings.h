#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"
#include "model/endpoint.h"
#include "model/ids.h"

namespace jackdawrack {

/// One kind of request in the mix that a load run sends.
struct LoadKind {
  std::string m_name;
  /// False for a non-idempotent request, which goes out under a fresh key.
  bool m_is_query = true;
  /// Share of the mix, against the sum of all weights.
  std::uint32_t m_weight = 1;

  friend bool operator==(const LoadKind&, const LoadKind&) = default;
};

/// What a load run sends, where, how fast and for how long.
struct LoadSettings {
  std::vector<Endpoint> m_targets;
  Customer m_customer;
  std::vector<LoadKind> m_kinds;

  // Pace: either an open loop or a closed one

  /// Arrivals a second of the open loop; 0 for the closed loop.
  double m_rate = 0;
  /// Clients of the closed loop, each with one request at a time.
  std::size_t m_clients = 8;

  // Bounds

  Milliseconds m_duration{5000};
  /// Time at the start whose requests are sent but not counted.
  Milliseconds m_warmup{0};
  std::uint64_t m_max_requests = 1'000'000;
  Milliseconds m_timeout{5000};
  /// Connections that the open loop may hold in total; arrivals beyond them
  /// wait, and their wait counts as latency.
  std::size_t m_max_connections = 512;
  std::uint64_t m_seed = 1;
  std::string m_body;
};

}  // namespace jackdawrack
