#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "core/clock.h"
#include "routing/replica_choice.h"

namespace jackdawrack {

/// Load on the replicas of one service, estimated from this instance's own
/// requests.
struct ServiceLoad {
  /// Expected queueing delay of a request that arrives now.
  Duration m_queueing_delay{};
  /// Expected time from sending a request to its answer.
  Duration m_latency{};

  /// Returns the expected time from arrival to answer.
  [[nodiscard]] Duration Total() const { return m_queueing_delay + m_latency; }
};

/// Estimates the load of a service from its replicas and from the
/// `queued_requests` requests that this instance has queued for it. Uses
/// Little's law: requests in flight divided by their latency is the throughput.
/// Returns zero load if no request is in flight, since no throughput can be
/// derived then.
[[nodiscard]] ServiceLoad EstimateLoad(
    std::span<const ReplicaCandidate> replicas,
    std::size_t queued_requests);

/// Properties of a request that admission control considers.
struct AdmissionRequest {
  /// Target latency of the route; answers after it have little value.
  Milliseconds m_target_latency{0};
  /// Time left until the deadline.
  Duration m_remaining_time{};
  /// Priority relative to the most urgent route that uses the same services;
  /// 0 is the most urgent.
  std::uint32_t m_relative_priority = 0;
  /// Number of services whose answers are not required.
  std::size_t m_optional_services = 0;
};

/// Result of refusing a request because of overload.
struct BusyRefusal {
  /// Time after which the caller should retry.
  Milliseconds m_retry_after{0};
  /// Load of the service that caused the refusal.
  ServiceLoad m_load;
};

/// Decides whether to admit a request; returns no value if it is admitted.
///
/// `loads` holds the load of each target service or shard of the request, at
/// least one; it is zero for a service without a standing queue. The slowest
/// service whose answer is required decides: the request is refused if requests
/// are queued for that service and its expected latency exceeds the allowed
/// fraction of the target latency, since the answer would be late and would
/// delay the requests behind it. While no requests are queued, every request is
/// admitted, so that the replicas stay utilized whatever their latency.
[[nodiscard]] std::optional<BusyRefusal> RefuseIfBusy(
    const AdmissionRequest& request,
    std::vector<ServiceLoad> loads);

}  // namespace jackdawrack
