#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "core/clock.h"
#include "routing/replica_choice.h"

namespace jackdawrack {

/// How loaded the replicas of one service are, as this instance sees it.
struct ServiceLoad {
  /// Expected time until a request that arrives now is sent.
  Duration m_wait{};
  /// Expected time from the sending to the answer.
  Duration m_latency{};

  [[nodiscard]] Duration Total() const { return m_wait + m_latency; }
};

/// The load of a service with these replicas, for which `waiting` requests of
/// this instance have not been sent yet. By Little's law: requests under way
/// divided by their latency are what the replicas answer in a time. No load if
/// nothing is under way, as nothing can be told then.
[[nodiscard]] ServiceLoad EstimateLoad(
    std::span<const ReplicaCandidate> replicas,
    std::size_t waiting);

/// What admission needs to know of a request.
struct AdmissionRequest {
  /// Answers after this time are worth little.
  Milliseconds m_target_latency{0};
  /// Time left until the final answer is due.
  Duration m_time_left{};
  /// Kinds of request that are more urgent: 0 for the most urgent.
  std::uint32_t m_rank = 0;
  /// Services whose answers it can do without.
  std::size_t m_spare_services = 0;
};

/// Why a request was refused.
struct BusyRefusal {
  /// Time after which its caller should come back.
  Milliseconds m_pause{0};
  /// The load of the service that decided.
  ServiceLoad m_load;
};

/// Decides whether a request is taken: nothing if it is.
///
/// A request is refused while others wait for the same replicas in a queue that
/// stands and it is not expected to be answered within its target latency:
/// served, it would be late, and make those behind it late. As long as nobody
/// waits everything is taken, so that the replicas are kept busy whatever their
/// latency.
[[nodiscard]] std::optional<BusyRefusal> RefuseIfBusy(
    const AdmissionRequest& request,
    std::vector<ServiceLoad> loads);

}  // namespace jackdawrack
