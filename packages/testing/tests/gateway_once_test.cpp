#include <fmt/format.h>

#include <catch2/catch.hpp>

#include "testing/gateway_fleet.h"
#include "testing/raw_caller.h"

namespace jackdawrack {
namespace {

TEST_CASE(
    "a request that may run once is not sent again after it may have run") {
  const ReplicaMode mode = GENERATE(ReplicaMode::kReset, ReplicaMode::kTruncate,
                                    ReplicaMode::kForeign);
  GatewayFleet fleet({.m_name = "gw-once"});
  fleet.Start();
  for (const char* domain : {"east", "west"}) {
    fleet.Replica("single", domain).SetMode(mode);
  }
  RawCaller caller(fleet.CallerPort());
  const auto reply = caller.Call("POST", "/book/x", "a1", "body");
  REQUIRE(reply);
  REQUIRE(reply->m_status == 502);
  REQUIRE(fleet.RunsOf("a1") == 1);
}

TEST_CASE("a refusal that says not run is sent on to another upstream") {
  GatewayFleet fleet({.m_name = "gw-refused"});
  fleet.Start();
  fleet.Replica("single", "east").SetMode(ReplicaMode::kRefuse, 1);
  RawCaller caller(fleet.CallerPort());
  for (int call = 0; call < 20; ++call) {
    caller.Call("POST", "/book/x", "warm" + std::to_string(call), "body");
  }
  fleet.Replica("single", "east").SetMode(ReplicaMode::kRefuse, 1);
  const auto reply = caller.Call("POST", "/book/x", "b1", "body");
  REQUIRE(reply);
  REQUIRE(reply->m_status == 200);
  REQUIRE(fleet.RunsOf("b1") == 1);
}

TEST_CASE("a request that nobody ran is refused with a time to come back") {
  GatewayFleet fleet({.m_name = "gw-not-run"});
  fleet.Start();
  for (const char* domain : {"east", "west"}) {
    fleet.Replica("single", domain).SetMode(ReplicaMode::kRefuse);
  }
  RawCaller caller(fleet.CallerPort());
  const auto reply = caller.Call("POST", "/book/x", "c1", "body");
  REQUIRE(reply);
  REQUIRE(reply->m_status == 503);
  REQUIRE(!reply->Header("Retry-After").empty());
  REQUIRE(fleet.RunsOf("c1") == 0);
}

TEST_CASE("an upstream's own failure of such a request is given as it is") {
  GatewayFleet fleet({.m_name = "gw-own-failure"});
  fleet.Start();
  fleet.Replica("single", "east").SetMode(ReplicaMode::kFail);
  RawCaller caller(fleet.CallerPort());
  const auto reply = caller.Call("POST", "/book/x", "d1", "body");
  REQUIRE(reply);
  REQUIRE(reply->m_status == 500);
  REQUIRE(reply->Header("X-Server-Stamp") == "u-single-east.d1");
  REQUIRE(fleet.RunsOf("d1") == 1);
}

// Such a status is a promise to the caller that nothing ran and never will.
TEST_CASE("a refusal that does not say not run is not given to the caller") {
  const char* status = GENERATE("408 Timeout", "429 Many", "503 Busy");
  const char* target = GENERATE("/book/x", "/one/x");
  GatewayFleet fleet({.m_name = "gw-false-promise"});
  fleet.Start();
  for (const char* domain : {"east", "west"}) {
    ReplicaStandin& replica = fleet.Replica("single", domain);
    replica.SetRawAnswer(
        {fmt::format("HTTP/1.1 {}\r\nX-Request-Id: {{id}}\r\n"
                     "X-Server-Stamp: s.{{id}}\r\nContent-Length: 0\r\n\r\n",
                     status),
         "",
         {},
         RawEnd::kOpen});
    replica.SetMode(ReplicaMode::kRaw);
  }
  RawCaller caller(fleet.CallerPort());
  const auto reply = caller.Call("POST", target, "f1", "body");
  INFO(status << " " << target);
  REQUIRE(reply);
  REQUIRE(reply->m_status == 502);
  REQUIRE(reply->Header("X-Server-Stamp").empty());
  REQUIRE(fleet.RunsOf("f1") >= 1);
}

TEST_CASE("an address that another upstream has taken gets nothing to run") {
  GatewayFleet fleet({.m_name = "gw-misdirected"});
  fleet.Start();
  fleet.Replica("single", "east").SetMode(ReplicaMode::kMisdirected);
  RawCaller caller(fleet.CallerPort());
  for (int call = 0; call < 10; ++call) {
    const std::string id = "e" + std::to_string(call);
    const auto reply = caller.Call("POST", "/book/x", id, "body");
    REQUIRE(reply);
    REQUIRE(fleet.RunsOf(id) == (reply->m_status == 200 ? 1 : 0));
  }
  REQUIRE(fleet.Replica("single", "east").Seen().size() == 1);
}

}  // namespace
}  // namespace jackdawrack
