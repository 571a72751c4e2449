#pragma once

#include <string>

#include "replica_groups.h"

namespace jackdawrack {

/// Appends metrics of this instance's requests to each upstream, and the queue
/// length and remaining retry budget of each service, in the Prometheus text
/// format. Only currently published upstreams are included, so that the text
/// does not grow as upstreams are replaced.
void WriteReplicaMetrics(ReplicaGroups& replicas,
                         TimePoint now,
                         std::string& out);

}  // namespace jackdawrack
