#pragma once

#include <cstdint>

#include "model/endpoint.h"
#include "model/ids.h"

namespace jackdawrack {

/// What the published map says of an upstream's life.
enum class UpstreamState : std::uint8_t { kLive, kLeaving };

/// One published upstream: a replica of one or more shards.
struct Upstream {
  UpstreamId m_id;
  Endpoint m_endpoint;
  FailureDomain m_domain;
  UpstreamState m_state = UpstreamState::kLive;
  /// Requests that it runs at once.
  std::uint32_t m_slots = 1;
  /// Connections that it accepts from all of us together.
  std::uint32_t m_connection_limit = 1;
  /// Milliseconds that opening a connection takes it.
  std::uint32_t m_connect_cost_ms = 0;

  friend auto operator<=>(const Upstream&, const Upstream&) = default;
  friend bool operator==(const Upstream&, const Upstream&) = default;
};

}  // namespace jackdawrack
