#include "routing/published_state.h"

#include <catch2/catch.hpp>

#include "routing/connection_share.h"
#include "routing/weighted_round_robin.h"

namespace jackdawrack {
namespace {

RoutingConfig MakeConfig(std::uint64_t version) {
  RoutingConfig config;
  config.m_version = version;
  return config;
}

TEST_CASE("the greatest configuration version wins in any order of arrival") {
  ManualClock clock;
  PublishedState state;
  REQUIRE_FALSE(state.IsComplete());
  state.Apply({MakeConfig(5)}, clock.Now());
  state.Apply({MakeConfig(3)}, clock.Now());
  REQUIRE(state.Table()->Version() == 5);
  state.ApplyListing({MakeConfig(4)}, clock.Now());
  REQUIRE(state.Table()->Version() == 5);
  REQUIRE(state.IsComplete());
}

TEST_CASE("an unreadable value does not change known records") {
  ManualClock clock;
  PublishedState state;
  ReplicaRecord record;
  record.m_endpoint = Endpoint{"10.0.0.9", 8080};
  record.m_id = UpstreamId("a");
  state.Apply({record, UnreadableValue{"servers/a", "state: missing"}},
              clock.Now());
  REQUIRE(state.Directory().Size() == 1);
}

TEST_CASE("requests are distributed in proportion to the weights") {
  WeightedRoundRobin round_robin;
  const std::vector<WeightedService> targets = {{ServiceName("a"), 3},
                                                {ServiceName("b"), 1}};
  int first_count = 0;
  for (int request = 0; request < 400; ++request) {
    first_count += round_robin.Next(targets) == ServiceName("a") ? 1 : 0;
  }
  REQUIRE(first_count == 300);
}

TEST_CASE("a target with weight 0 gets no requests") {
  WeightedRoundRobin round_robin;
  const std::vector<WeightedService> targets = {{ServiceName("a"), 0},
                                                {ServiceName("b"), 1}};
  for (int request = 0; request < 100; ++request) {
    REQUIRE(round_robin.Next(targets) == ServiceName("b"));
  }
}

// What was left of weights of millions outweighed later ones for as many
// requests.
TEST_CASE("changed weights are in force at once, whatever the earlier ones") {
  for (const double weight : {1e6, 1e308}) {
    WeightedRoundRobin round_robin;
    for (int request = 0; request < 1'000; ++request) {
      round_robin.Next({{ServiceName("a"), weight}, {ServiceName("b"), 1}});
    }
    int first_count = 0;
    for (int request = 0; request < 100; ++request) {
      const ServiceName next =
          round_robin.Next({{ServiceName("a"), 1}, {ServiceName("b"), 1}});
      first_count += next == ServiceName("a") ? 1 : 0;
    }
    REQUIRE(first_count >= 49);
    REQUIRE(first_count <= 51);
  }
}

TEST_CASE(
    "connection shares fit the limit, with the local ones counted twice") {
  for (const std::uint32_t limit : {26U, 31U, 62U, 110U, 430U}) {
    const FleetSize fleet{4, 5};
    const UpstreamLimits limits{limit, 64};
    const std::size_t local_connections =
        fleet.m_local * ConnectionShare(limits, fleet, true);
    const std::size_t remote_connections =
        fleet.m_remote * ConnectionShare(limits, fleet, false);
    REQUIRE(local_connections + remote_connections <= limit);
    REQUIRE(2 * local_connections <= limit);
  }
  REQUIRE(ConnectionShare({62, 4}, FleetSize{30, 300}, false) == 1);
}

TEST_CASE("a remote instance can use all slots of a replica") {
  REQUIRE(ConnectionShare({26, 2}, FleetSize{3, 6}, false) == 2);
  REQUIRE(ConnectionShare({31, 3}, FleetSize{3, 5}, false) == 3);
}

TEST_CASE("a connection share exceeds the slots by at most one") {
  REQUIRE(ConnectionShare({110, 2}, FleetSize{1, 0}, true) == 3);
  REQUIRE(ConnectionShare({110, 2}, FleetSize{1, 1}, false) == 2);
}

// Such a record came with a peer's snapshot and ended the process when a
// request was sent to it.
TEST_CASE("a record that cannot be connected to never enters the directory") {
  ManualClock clock;
  PublishedState state;
  ReplicaRecord record;
  record.m_id = UpstreamId("odd");
  for (const char* address : {"[::1]", "bad", "127.0.0.256", "", "0.0.0.0"}) {
    INFO(address);
    record.m_endpoint = Endpoint{address, 8080};
    state.Apply({record}, clock.Now());
    state.ApplyListing({record}, clock.Now());
    REQUIRE(state.Directory().Size() == 0);
  }
}

// A request to such a route, which only a peer could send, ended the process by
// a check.
TEST_CASE("a route without services and shards never enters the table") {
  ManualClock clock;
  PublishedState state;
  RoutingConfig config = MakeConfig(1);
  Route route;
  route.m_name = "none";
  route.m_host = "app.test";
  route.m_prefix = "/none/";
  config.m_routes.push_back(route);
  route.m_name = "some";
  route.m_prefix = "/some/";
  route.m_services = {WeightedService{ServiceName("s"), 1}};
  config.m_routes.push_back(route);
  state.Apply({config}, clock.Now());
  REQUIRE(state.Table()->Find("app.test", "/none/x") == nullptr);
  REQUIRE(state.Table()->Find("app.test", "/some/x") != nullptr);
}

}  // namespace
}  // namespace jackdawrack
