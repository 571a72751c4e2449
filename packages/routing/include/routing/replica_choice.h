#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "core/clock.h"

namespace jackdawrack {

/// Network distance between this instance and a replica.
enum class Proximity : std::uint8_t {
  /// In the same failure domain.
  kLocal,
  /// In another failure domain of the same region.
  kRegional,
  /// In another region.
  kRemote,
};

/// State of one replica of a service, as input to replica selection.
struct ReplicaCandidate {
  /// False if the replica must not get new requests.
  bool m_is_usable = true;
  /// True if the replica may get requests only if there is no other one.
  bool m_is_last_resort = false;
  /// True if a connection is idle or may be opened; otherwise the request has
  /// to wait.
  bool m_has_free_connection = true;
  Proximity m_proximity = Proximity::kRemote;
  /// True if the replica is outside the subset to which this instance keeps
  /// connections; used only if the others are much slower.
  bool m_is_spare = false;
  /// True if the replica has started recently and is still slow.
  bool m_is_cold = false;
  /// Expected latency without queueing.
  Duration m_latency{};
  /// Expected fraction of requests that fail, 0 to 1.
  double m_failure_share = 0;
  /// Number of unanswered requests of this instance.
  std::uint32_t m_in_flight = 0;
  /// Number of requests that it runs concurrently.
  std::uint32_t m_slots = 1;
  /// Age of the oldest unanswered request of this instance.
  Duration m_oldest_request_age{};
  /// Time until a connection may be opened after a failed attempt.
  Duration m_connect_delay{};
};

/// Penalties used in replica selection.
struct ReplicaChoiceSettings {
  /// Penalty for a replica in another region, in addition to its measured
  /// latency, because traffic between regions is costly.
  Milliseconds m_remote_penalty{15};
  /// The same for another failure domain of the same region.
  Milliseconds m_regional_penalty{5};
  /// Penalty for a replica outside the instance's subset.
  Milliseconds m_spare_penalty{60};
  /// Penalty of a failure: approximately the time until a retry is answered.
  Milliseconds m_failure_penalty{250};
};

/// Returns the expected latency of a request at this replica plus penalties.
[[nodiscard]] Duration ExpectedCost(const ReplicaCandidate& candidate,
                                    const ReplicaChoiceSettings& settings);

/// Returns true if the oldest unanswered request is much older than the
/// expected latency.
[[nodiscard]] bool IsStalled(const ReplicaCandidate& candidate);

/// Returns the index of the usable candidate with the lowest cost, or no value
/// if none is usable. A last resort is chosen only if no other is usable. The
/// result may have no free connection if waiting for one is expected to be
/// faster than any alternative. Ties are resolved in favor of the first
/// candidate at or after index `rotation` (modulo the number of candidates), so
/// that callers can distribute requests among equal replicas.
[[nodiscard]] std::optional<std::size_t> ChooseReplica(
    std::span<const ReplicaCandidate> candidates,
    const ReplicaChoiceSettings& settings,
    std::size_t rotation);

}  // namespace jackdawrack
