#pragma once

#include <cstdint>
#include <vector>

#include "model/instance.h"

namespace jackdawrack {

/// Number of instances per failure domain that watch the configuration service.
inline constexpr std::size_t kWatchersPerDomain = 3;

/// Number of children of an instance in a push tree.
inline constexpr std::size_t kPushFanOut = 3;

/// Rank of an instance among `live`, the live instances of one domain, by
/// rendezvous hash; the instances ranked first are watchers. Returns
/// `live.size()` if the instance is not in `live`.
[[nodiscard]] std::size_t WatcherRank(const std::vector<Instance>& live,
                                      const InstanceId& instance);

/// Children of `self` in the push tree that starts at `root` and spans `live`,
/// the live instances of one domain. The order of the tree is derived from the
/// root's name, so that the trees of different roots put their load on
/// different instances.
[[nodiscard]] std::vector<Instance> PushTreeChildren(
    const std::vector<Instance>& live,
    const InstanceId& root,
    const InstanceId& self);

}  // namespace jackdawrack
