#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "gateway_operator_api.h"

namespace jackdawrack {

/// The state of an instance that serves published routes, for its metrics.
struct GatewayGauges {
  GatewayStatus m_status;
  std::chrono::system_clock::time_point m_start_time;
  std::uint64_t m_store_calls = 0;
  /// Speed of the instance; 1 is as usual, greater is slower.
  double m_local_slowness = 1;
  bool m_is_store_reader = false;
  std::size_t m_waiting_followers = 0;
  std::size_t m_caller_connections = 0;
  std::size_t m_upstream_connections = 0;
};

/// The gauges and the usage of the process in the Prometheus text format.
[[nodiscard]] std::string ToMetricsText(const GatewayGauges& gauges);

}  // namespace jackdawrack
