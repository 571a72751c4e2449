#pragma once

#include "core/metrics.h"

namespace jackdawrack {

/// Counters of the bytes sent and received on all connections between
/// instances, including queries.
struct PeerTraffic final {
  explicit PeerTraffic(MetricsRegistry& registry)
      : m_bytes_sent(registry.CounterFor("jackdawrack_peer_bytes_sent_total")),
        m_bytes_received(
            registry.CounterFor("jackdawrack_peer_bytes_received_total")) {}

  Counter& m_bytes_sent;
  Counter& m_bytes_received;
};

}  // namespace jackdawrack
