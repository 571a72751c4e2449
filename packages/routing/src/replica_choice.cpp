#include "routing/replica_choice.h"

namespace jackdawrack {
namespace {

/// A replica is considered stalled if its oldest request is older than this
/// multiple of its latency.
constexpr int kStallFactor = 3;

/// The oldest request must also exceed the latency by this margin, so that
/// jitter is not mistaken for a stall.
constexpr Milliseconds kStallMargin{20};

/// Latency factor of recently started upstreams, as specified by the platform.
constexpr double kColdFactor = 1.6;

Milliseconds DistancePenalty(Proximity proximity,
                             const ReplicaChoiceSettings& settings) {
  switch (proximity) {
    case Proximity::kLocal:
      return Milliseconds(0);
    case Proximity::kRegional:
      return settings.m_regional_penalty;
    case Proximity::kRemote:
      return settings.m_remote_penalty;
  }
  return settings.m_remote_penalty;
}

Duration Scaled(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(duration.count()) * factor));
}

}  // namespace

bool IsStalled(const ReplicaCandidate& candidate) {
  return candidate.m_oldest_request_age > candidate.m_latency * kStallFactor &&
         candidate.m_oldest_request_age > candidate.m_latency + kStallMargin;
}

Duration ExpectedCost(const ReplicaCandidate& candidate,
                      const ReplicaChoiceSettings& settings) {
  // Requests beyond the slots queue at the replica, and requests below that
  // slow it down as well; approximate both as linear in the load
  const double load = static_cast<double>(candidate.m_in_flight) /
                      static_cast<double>(candidate.m_slots);
  Duration cost = Scaled(candidate.m_latency, 1 + load);
  if (candidate.m_is_cold) {
    cost = Scaled(cost, kColdFactor);
  }

  // A connection becomes free when a request in flight completes; an overdue
  // request is expected to take as long again as it has already taken
  if (!candidate.m_has_free_connection) {
    cost += candidate.m_latency + 2 * candidate.m_oldest_request_age +
            candidate.m_connect_delay;
  }

  // A stall is expected to last as long again as it has already lasted
  if (IsStalled(candidate)) {
    cost += candidate.m_oldest_request_age;
  }
  cost += DistancePenalty(candidate.m_proximity, settings);
  if (candidate.m_is_spare) {
    cost += settings.m_spare_penalty;
  }
  return cost + Scaled(settings.m_failure_penalty, candidate.m_failure_share);
}

std::optional<std::size_t> ChooseReplica(
    std::span<const ReplicaCandidate> candidates,
    const ReplicaChoiceSettings& settings,
    std::size_t rotation) {
  std::optional<std::size_t> best;
  Duration best_cost{};
  for (std::size_t offset = 0; offset < candidates.size(); ++offset) {
    const std::size_t index = (rotation + offset) % candidates.size();
    if (!candidates[index].m_is_usable) {
      continue;
    }
    const Duration cost = ExpectedCost(candidates[index], settings);
    const bool is_last_resort = candidates[index].m_is_last_resort;
    const bool is_better =
        best && (is_last_resort == candidates[*best].m_is_last_resort
                     ? cost < best_cost
                     : !is_last_resort);
    if (!best || is_better) {
      best = index;
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace jackdawrack
