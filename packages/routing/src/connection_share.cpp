#include "routing/connection_share.h"

#include <algorithm>
#include <cmath>

namespace jackdawrack {
namespace {

/// Fraction of an upstream's connections shared by the instances in its failure
/// domain. Below one half, because after a power loss the upstream still counts
/// the connections of the previous processes when the restarted instances
/// connect.
constexpr double kLocalFraction = 0.35;

/// Fraction shared by all other instances, which connect only for hedges and
/// failover.
constexpr double kRemoteFraction = 0.45;

}  // namespace

std::size_t ConnectionShare(const UpstreamLimits& limits,
                            const FleetSize& fleet,
                            bool is_local) {
  const double fraction = is_local ? kLocalFraction : kRemoteFraction;
  const std::size_t instances = is_local ? fleet.m_local : fleet.m_remote;
  const double share = fraction * limits.m_max_connections /
                       static_cast<double>(std::max<std::size_t>(instances, 1));
  const std::size_t slots = limits.m_slots;
  const std::size_t max_useful = is_local ? slots + 1 : slots;
  return std::clamp<std::size_t>(static_cast<std::size_t>(std::lround(share)),
                                 1, std::max<std::size_t>(max_useful, 1));
}

}  // namespace jackdawrack
