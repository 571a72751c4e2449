#pragma once

#include <string>

#include "replica_groups.h"

namespace jackdawrack {

/// Appends what this instance has seen of each upstream, and the queue and the
/// budget of repeats of each service, in the Prometheus text format. Only
/// upstreams that are published now are named, so that the text does not grow
/// with those that were replaced.
void WriteReplicaMetrics(ReplicaGroups& replicas,
                         TimePoint now,
                         std::string& out);

}  // namespace jackdawrack
