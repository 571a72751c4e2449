#include <fmt/format.h>

#include <catch2/catch.hpp>

#include "testing/gateway_fleet.h"
#include "testing/raw_caller.h"

namespace jackdawrack {
namespace {

/// Bound on the time until a published change is in force.
constexpr Milliseconds kApplyTime{3'000};

// True if the service is in force as the only shard.
bool IsInForce(GatewayFleet& fleet, const std::string& service) {
  RawCaller caller(fleet.CallerPort());
  const auto reply = caller.Call("GET", "/q/x", "probe");
  return reply &&
         reply->Header("X-Part-Stamps").find(service) != std::string::npos;
}

// The reply with all of them was longer than an instance takes, and was asked
// for again until the store had dropped its history.
TEST_CASE("a burst of large configurations is read after an outage") {
  constexpr std::uint64_t kVersions = 25;
  constexpr std::size_t kConfigBytes = 720'000;
  GatewayFleet fleet({.m_name = "gw-config-burst"});
  fleet.Start();
  fleet.AddService("next");
  std::this_thread::sleep_for(Milliseconds(600));
  fleet.Store().SetMode(StoreMode::kRefuse);
  for (std::uint64_t version = 2; version <= kVersions + 1; ++version) {
    fleet.PublishConfig(version, {"next"}, kConfigBytes);
  }
  fleet.Store().SetMode(StoreMode::kServe);
  const TimePoint until = SteadyClock().Now() + kApplyTime;
  bool is_in_force = false;
  while (!is_in_force && SteadyClock().Now() < until) {
    is_in_force = IsInForce(fleet, "next");
  }
  REQUIRE(is_in_force);
  std::this_thread::sleep_for(Milliseconds(300));
  REQUIRE(fleet.LogText(0).find("2021 StoreReplyTooLarge") !=
          std::string::npos);
}

// A watch that was sent just after the connections had gone silent was given up
// too late.
TEST_CASE(
    "a change made while connections to the store are silent is in force in "
    "time") {
  GatewayFleet fleet({.m_name = "gw-store-silent", .m_stable_ms = 5'000});
  fleet.Start();
  fleet.AddService("next");
  std::this_thread::sleep_for(Milliseconds(1'500));

  // The watch that follows this change is lost
  fleet.PublishReplica("single", "east", "ready");
  std::this_thread::sleep_for(Milliseconds(20));
  const TimePoint silent_since = SteadyClock().Now();
  fleet.Store().LoseReplies(Milliseconds(450));
  std::this_thread::sleep_for(Milliseconds(600));
  fleet.PublishConfig(2, {"next"});
  REQUIRE_FALSE(IsInForce(fleet, "next"));
  std::this_thread::sleep_until(silent_since + Milliseconds(5'000));
  REQUIRE(IsInForce(fleet, "next"));
}

}  // namespace
}  // namespace jackdawrack
