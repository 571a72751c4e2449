#pragma once

#include "core/strong_text.h"

namespace jackdawrack {

/// Names one running instance of the daemon.
using InstanceId = StrongText<struct InstanceIdTag>;

/// Names one failure domain.
using FailureDomain = StrongText<struct FailureDomainTag>;

/// Names one upstream.
using UpstreamId = StrongText<struct UpstreamIdTag>;

/// Names one customer; each has one contract.
using Customer = StrongText<struct CustomerTag>;

/// Names one collection of shards that share a key space.
using CollectionName = StrongText<struct CollectionNameTag>;

}  // namespace jackdawrack
