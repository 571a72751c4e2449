#include "routing/connection_share.h"

#include <catch2/catch.hpp>
#include <cstdint>

namespace jackdawrack {
namespace {

// One more than the slots wrapped around to zero, and the share was a single
// connection.
TEST_CASE("an upstream without a bound on its slots is used in full") {
  const FleetSize fleet{2, 4};
  const std::size_t share = ConnectionShare({200, 1'000}, fleet, true);
  REQUIRE(share > 1);
  REQUIRE(ConnectionShare({200, UINT32_MAX}, fleet, true) == share);
}

}  // namespace
}  // namespace jackdawrack
