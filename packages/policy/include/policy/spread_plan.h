#pragma once

#include <cstdint>
#include <vector>

#include "model/instance.h"

namespace jackdawrack {

/// Instances of each failure domain that watch the configuration service.
inline constexpr std::size_t kWatchersPerDomain = 3;

/// Peers that an instance passes a push on to.
inline constexpr std::size_t kPushFanOut = 3;

/// Place of an instance in the domain's order of watchers, chosen by rendezvous
/// hash; the size of `live` if it is not among them.
[[nodiscard]] std::size_t WatcherRank(const std::vector<Instance>& live,
                                      const InstanceId& instance);

/// Instances to which `self` passes on what `root` pushed through the tree over
/// `live`, the live instances of one domain. The tree follows from the root's
/// name, so that different roots load different instances.
[[nodiscard]] std::vector<Instance> PushTargets(
    const std::vector<Instance>& live,
    const InstanceId& root,
    const InstanceId& self);

}  // namespace jackdawrack
