#include "routing/replica_choice.h"

namespace jackdawrack {
namespace {

/// A replica counts as stalled above this multiple of its latency.
constexpr int kStallFactor = 3;

/// And above its latency by this much, so that jitter is not taken for a stall.
constexpr Milliseconds kStallMargin{20};

/// Upstreams that have just started take this much longer (store's page).
constexpr double kColdFactor = 1.6;

Duration Scaled(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(duration.count()) * factor));
}

}  // namespace

bool IsStalled(const ReplicaCandidate& candidate) {
  return candidate.m_oldest_wait > candidate.m_latency * kStallFactor &&
         candidate.m_oldest_wait > candidate.m_latency + kStallMargin;
}

Duration ExpectedCost(const ReplicaCandidate& candidate,
                      const ReplicaChoiceSettings& settings) {
  // Requests beyond the slots wait; others of ours slow it down a little
  const double load = static_cast<double>(candidate.m_in_flight) /
                      static_cast<double>(candidate.m_slots);
  Duration cost = Scaled(candidate.m_latency, 1 + load);
  if (candidate.m_is_cold) {
    cost = Scaled(cost, kColdFactor);
  }

  // A connection comes free when one of the requests under way ends; one that
  // is overdue is expected to take as long again
  if (!candidate.m_is_free) {
    cost += candidate.m_latency + 2 * candidate.m_oldest_wait +
            candidate.m_open_delay;
  }

  // A stall is expected to last as long again as it has lasted
  if (IsStalled(candidate)) {
    cost += candidate.m_oldest_wait;
  }
  if (!candidate.m_is_home) {
    cost += settings.m_remote_penalty;
  }
  return cost + Scaled(settings.m_failure_penalty, candidate.m_failure_share);
}

std::optional<std::size_t> ChooseReplica(
    std::span<const ReplicaCandidate> candidates,
    const ReplicaChoiceSettings& settings,
    std::size_t rotation) {
  std::optional<std::size_t> best;
  Duration best_cost{};
  for (std::size_t step = 0; step < candidates.size(); ++step) {
    const std::size_t index = (rotation + step) % candidates.size();
    if (!candidates[index].m_is_usable) {
      continue;
    }
    const Duration cost = ExpectedCost(candidates[index], settings);
    if (!best || cost < best_cost) {
      best = index;
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace jackdawrack
