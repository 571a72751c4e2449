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

std::size_t ConnectionShare(const UpstreamLimits& bounds,
                            const FleetSize& fleet,
                            bool is_home) {
  const double part = is_home ? kLocalFraction : kRemoteFraction;
  const std::size_t sharers = is_home ? fleet.m_local : fleet.m_remote;
  const double fair = part * bounds.m_max_connections /
                      static_cast<double>(std::max<std::size_t>(sharers, 1));
  const std::size_t useful = is_home ? bounds.m_slots + 1 : bounds.m_slots;
  return std::clamp<std::size_t>(static_cast<std::size_t>(std::lround(fair)), 1,
                                 std::max<std::size_t>(useful, 1));
}

}  // namespace jackdawrack
