#include "routing/connection_share.h"

#include <algorithm>

namespace jackdawrack {
namespace {

/// Part of an upstream's connections that the instances of its domain share.
constexpr double kHomePart = 0.55;

/// Part that all others share; they rarely use it at the same time.
constexpr double kRemotePart = 0.45;

}  // namespace

std::size_t ConnectionShare(std::uint32_t connection_limit,
                            const FleetSize& fleet,
                            bool is_home) {
  const double part = is_home ? kHomePart : kRemotePart;
  const std::size_t sharers = is_home ? fleet.m_home : fleet.m_remote;
  const double share = part * connection_limit /
                       static_cast<double>(std::max<std::size_t>(sharers, 1));
  return std::max<std::size_t>(1, static_cast<std::size_t>(share));
}

}  // namespace jackdawrack
