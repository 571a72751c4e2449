#pragma once

#include <random>

#include "testing/test_fleet.h"

namespace jackdawrack {

/// Makes every upstream serve the next index version besides the present one,
/// then publishes it.
void PublishNextIndexVersion(TestFleet& fleet);

/// Publishes a map with a shard drawn at random split, merged with its
/// neighbour or moved to the upstreams of another.
void PublishRepartition(TestFleet& fleet, std::mt19937_64& random);

}  // namespace jackdawrack
