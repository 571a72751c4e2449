#pragma once

#include "core/metrics.h"

namespace jackdawrack {

/// Overhead in bytes that a peer frame adds to the text of a control call or
/// reply: length, type, number and size fields.
inline constexpr std::uint64_t kControlFrameBytes = 24;

/// Metrics of the control plane of one instance. The byte counters include the
/// frame overhead of control calls to and from peers.
struct ControlMetrics final {
  explicit ControlMetrics(MetricsRegistry& registry)
      : m_bytes_sent(
            registry.CounterFor("jackdawrack_control_bytes_sent_total")),
        m_bytes_received(
            registry.CounterFor("jackdawrack_control_bytes_received_total")),
        m_calls_sent(
            registry.CounterFor("jackdawrack_control_calls_sent_total")),
        m_calls_received(
            registry.CounterFor("jackdawrack_control_calls_received_total")),
        m_calls_failed(
            registry.CounterFor("jackdawrack_control_calls_failed_total")),
        m_config_service_calls(
            registry.CounterFor("jackdawrack_platform_calls_total")),
        m_config_service_failures(
            registry.CounterFor("jackdawrack_platform_failures_total")),
        m_config_service_bytes(
            registry.CounterFor("jackdawrack_platform_bytes_received_total")),
        m_values_applied(
            registry.CounterFor("jackdawrack_config_values_applied_total")),
        m_exchange_gap(
            registry.HistogramFor("jackdawrack_control_exchange_gap_ms")) {}

  Counter& m_bytes_sent;
  Counter& m_bytes_received;
  Counter& m_calls_sent;
  Counter& m_calls_received;
  Counter& m_calls_failed;
  Counter& m_config_service_calls;
  Counter& m_config_service_failures;
  /// Size in bytes of the reply bodies of the configuration service.
  Counter& m_config_service_bytes;
  Counter& m_values_applied;
  /// Time between consecutive exchanges with any peer.
  LatencyHistogram& m_exchange_gap;
};

}  // namespace jackdawrack
