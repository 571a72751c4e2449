#include "gateway_gauges.h"

#include <fmt/format.h>

#include <chrono>

#include "core/event.h"
#include "core/exception_log.h"
#include "core/process_usage.h"

namespace jackdawrack {

std::string ToMetricsText(const GatewayGauges& gauges) {
  const GatewayStatus& status = gauges.m_status;
  const std::chrono::duration<double> answer_age = status.m_store_age;
  const std::chrono::duration<double> start_time =
      gauges.m_start_time.time_since_epoch();
  const ProcessUsage usage = ProcessUsage::Now();
  return fmt::format(
      "jackdawrack_config_version {}\n"
      "jackdawrack_published_replicas {}\n"
      "jackdawrack_store_calls_total {}\n"
      "jackdawrack_store_answer_age_seconds {:.3f}\n"
      "jackdawrack_store_lost {}\n"
      "jackdawrack_local_slowness {:.2f}\n"
      "jackdawrack_store_reader {}\n"
      "jackdawrack_waiting_followers {}\n"
      "jackdawrack_known_instances {}\n"
      "jackdawrack_caller_connections {}\n"
      "jackdawrack_upstream_connections {}\n"
      "jackdawrack_log_lines_dropped_total {}\n"
      "jackdawrack_unexpected_exceptions_total {}\n"
      "jackdawrack_process_start_time_seconds {:.3f}\n"
      "jackdawrack_process_cpu_seconds_total {:.3f}\n"
      "jackdawrack_process_peak_bytes {}\n",
      status.m_config_version, status.m_replicas, gauges.m_store_calls,
      answer_age.count(), status.m_is_store_lost ? 1 : 0,
      gauges.m_local_slowness, gauges.m_is_store_reader ? 1 : 0,
      gauges.m_waiting_followers, status.m_known_instances,
      gauges.m_caller_connections, gauges.m_upstream_connections,
      DroppedEvents(), LoggedExceptions(), start_time.count(),
      usage.m_processor_seconds, usage.m_peak_bytes);
}

}  // namespace jackdawrack
