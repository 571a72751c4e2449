#include "routing/connection_share.h"

#include <algorithm>
#include <cmath>

namespace jackdawrack {
namespace {

/// Part of an upstream's connections that the instances of its domain share:
/// they keep them open, and the upstream still counts those of instances that
/// lost power when they have started again.
constexpr double kHomePart = 0.35;

/// Part that all others share; opened for hedges and faults only.
constexpr double kRemotePart = 0.45;

}  // namespace

std::size_t ConnectionShare(const ConnectionBounds& bounds,
                            const FleetSize& fleet,
                            bool is_home) {
  const double part = is_home ? kHomePart : kRemotePart;
  const std::size_t sharers = is_home ? fleet.m_home : fleet.m_remote;
  const double fair = part * bounds.m_limit /
                      static_cast<double>(std::max<std::size_t>(sharers, 1));
  const std::size_t useful = is_home ? bounds.m_slots + 1 : bounds.m_slots;
  return std::clamp<std::size_t>(static_cast<std::size_t>(std::lround(fair)), 1,
                                 std::max<std::size_t>(useful, 1));
}

}  // namespace jackdawrack
