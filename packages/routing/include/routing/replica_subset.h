#pragma once

#include <span>
#include <vector>

#include "model/ids.h"
#include "routing/connection_share.h"

namespace jackdawrack {

/// Returns to how many of `replicas` replicas of a service in other regions an
/// instance keeps connections, so that the connections of all instances fit the
/// limit of each replica; at least 1 if there is any.
[[nodiscard]] std::size_t RemoteSubsetSize(const UpstreamLimits& limits,
                                           const FleetSize& fleet,
                                           std::size_t replicas);

/// Chooses `size` of `replicas` by rendezvous hash with the id of the instance,
/// so that the subsets of all instances load each replica about equally.
/// Returns whether each replica is chosen.
[[nodiscard]] std::vector<bool> ChooseReplicaSubset(
    const InstanceId& instance,
    std::span<const UpstreamId> replicas,
    std::size_t size);

}  // namespace jackdawrack
