#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "core/clock.h"

namespace jackdawrack {

/// What the choice among the replicas of a service rests on, for one of them.
struct ReplicaCandidate {
  /// False if it takes no new work.
  bool m_is_usable = true;
  /// A connection is free, or may be opened; otherwise the request waits.
  bool m_is_free = true;
  /// It stands in this instance's failure domain.
  bool m_is_home = false;
  /// It has just started and is still slow.
  bool m_is_cold = false;
  /// Expected time to an answer without a queue.
  Duration m_latency{};
  /// Expected share of failures, 0 to 1.
  double m_failure_share = 0;
  /// Requests of this instance that it has not answered.
  std::uint32_t m_in_flight = 0;
  /// Requests that it runs at once.
  std::uint32_t m_slots = 1;
  /// Age of the oldest unanswered request.
  Duration m_oldest_wait{};
  /// Time until a connection may be opened again after one that failed.
  Duration m_open_delay{};
};

/// Weights of the choice.
struct ReplicaChoiceSettings {
  /// What leaving the failure domain counts as, besides the measured latency:
  /// traffic between failure domains is costly.
  Milliseconds m_remote_penalty{15};
  /// What a failure counts as: about the time until a repeat is answered.
  Milliseconds m_failure_penalty{250};
};

/// The time that a request at this replica is expected to take, with penalties.
[[nodiscard]] Duration ExpectedCost(const ReplicaCandidate& candidate,
                                    const ReplicaChoiceSettings& settings);

/// True when its oldest request waits far longer than its answers take.
[[nodiscard]] bool IsStalled(const ReplicaCandidate& candidate);

/// Index of the usable candidate of the least cost, or nothing; one that is not
/// free may be worth the wait. Ties fall to
/// the first at or after `rotation`, so that equal ones take turns.
[[nodiscard]] std::optional<std::size_t> ChooseReplica(
    std::span<const ReplicaCandidate> candidates,
    const ReplicaChoiceSettings& settings,
    std::size_t rotation);

}  // namespace jackdawrack
