#include <catch2/catch.hpp>

#include "testing/gateway_fleet.h"
#include "testing/raw_caller.h"

namespace jackdawrack {
namespace {

constexpr Milliseconds kSettle{300};

TEST_CASE("a scattered query merges the greatest records of all shards") {
  GatewayFleet fleet({.m_name = "gw-merge"});
  fleet.Start();
  RawCaller caller(fleet.CallerPort());
  const auto reply = caller.Call("GET", "/q/x", "a1");
  REQUIRE(reply);
  REQUIRE(reply->m_status == 200);
  REQUIRE(reply->m_body == GatewayFleet::RecordOf("shard-3") +
                               GatewayFleet::RecordOf("shard-2") +
                               GatewayFleet::RecordOf("shard-1"));
  REQUIRE(reply->Header("X-Missing-Parts") == "0");
  REQUIRE(reply->Header("X-Part-Stamps") ==
          "u-shard-0-east.a1, u-shard-1-east.a1, u-shard-2-east.a1, "
          "u-shard-3-east.a1");
  REQUIRE(fleet.RunsOf("a1") == 4);
}

TEST_CASE("a single request and its answer pass unchanged") {
  GatewayFleet fleet({.m_name = "gw-single"});
  fleet.Start();
  RawCaller caller(fleet.CallerPort());
  const auto reply =
      caller.Call("POST", "/book/lens%2F1?when=now", "b1", "the body", 900);
  REQUIRE(reply);
  REQUIRE(reply->m_status == 200);
  REQUIRE(reply->Header("X-Server-Stamp") == "u-single-east.b1");
  const auto seen = fleet.Replica("single", "east").Seen();
  REQUIRE(seen.size() == 1);
  REQUIRE(seen[0].m_target == "/book/lens%2F1?when=now");
  REQUIRE(seen[0].m_method == "POST");
  REQUIRE(seen[0].m_body == "the body");
  REQUIRE(seen[0].m_deadline_ms <= 900);
  REQUIRE(seen[0].m_deadline_ms > 500);
}

TEST_CASE("a shard without an answer is left out before the target latency") {
  GatewayFleet fleet({.m_name = "gw-partial"});
  fleet.Start();
  for (const char* domain : {"east", "west"}) {
    fleet.Replica("shard-2", domain).SetMode(ReplicaMode::kHang);
  }
  RawCaller caller(fleet.CallerPort());
  const TimePoint began = SteadyClock().Now();
  const auto reply = caller.Call("GET", "/q/x", "c1");
  REQUIRE(reply);
  REQUIRE(reply->m_status == 200);
  REQUIRE(reply->Header("X-Missing-Parts") == "1");
  REQUIRE(reply->Header("X-Part-Stamps").find("shard-2") == std::string::npos);
  REQUIRE(SteadyClock().Now() - began < Milliseconds(300));
}

TEST_CASE("too few shards are no success, and the failure comes at once") {
  GatewayFleet fleet({.m_name = "gw-too-few"});
  fleet.Start();
  for (const char* shard : {"shard-1", "shard-2"}) {
    for (const char* domain : {"east", "west"}) {
      fleet.Replica(shard, domain).SetMode(ReplicaMode::kFail);
    }
  }
  RawCaller caller(fleet.CallerPort());
  const TimePoint began = SteadyClock().Now();
  const auto reply = caller.Call("GET", "/q/x", "d1");
  REQUIRE(reply);
  REQUIRE(reply->m_status == 502);
  REQUIRE(SteadyClock().Now() - began < Milliseconds(1'000));
}

TEST_CASE("bytes that belong to no request reach no caller") {
  const ReplicaMode mode =
      GENERATE(ReplicaMode::kExtra, ReplicaMode::kForeign,
               ReplicaMode::kTruncate, ReplicaMode::kUnframed);
  GatewayFleet fleet({.m_name = "gw-garbled"});
  fleet.Start();
  fleet.Replica("single", "east").SetMode(mode, 1);
  fleet.Replica("single", "west").SetMode(mode, 1);
  for (int call = 0; call < 6; ++call) {
    const std::string id = "e" + std::to_string(call);
    RawCaller caller(fleet.CallerPort());
    const auto reply = caller.Call("GET", "/one/x", id);
    REQUIRE(reply);
    if (reply->m_status != 200) {
      REQUIRE(reply->m_status == 502);
      continue;
    }
    REQUIRE(reply->Header("X-Server-Stamp").ends_with("." + id));
    REQUIRE(reply->m_body == GatewayFleet::RecordOf("single"));
  }
}

TEST_CASE("an idempotent request is hedged, a slow answer is not waited for") {
  GatewayFleet fleet({.m_name = "gw-hedge"});
  fleet.Start();
  fleet.Replica("shard-0", "east").SetServiceTime(Milliseconds(1'000));
  RawCaller caller(fleet.CallerPort());

  // The budget grows with the requests, its slack a window after the start
  for (int call = 0; call < 40; ++call) {
    const auto reply = caller.Call("GET", "/q/x", "f" + std::to_string(call));
    REQUIRE(reply);
    REQUIRE(reply->m_status == 200);
  }
  const auto last = caller.Call("GET", "/q/x", "f-last");
  REQUIRE(last->Header("X-Missing-Parts") == "0");
  REQUIRE(fleet.Replica("shard-0", "west").Seen().size() > 10);
}

TEST_CASE("a caller who leaves stops the work at the upstream") {
  GatewayFleet fleet({.m_name = "gw-leave"});
  fleet.Start();
  fleet.Replica("single", "east").SetMode(ReplicaMode::kHang, 1);
  fleet.Replica("single", "west").SetMode(ReplicaMode::kHang, 1);
  RawCaller caller(fleet.CallerPort());
  caller.Send(RawCaller::MakeRequest("GET", "/one/x", "g1", "", 2'000));
  std::this_thread::sleep_for(kSettle);
  caller.Close();
  std::this_thread::sleep_for(Milliseconds(500));
  REQUIRE(fleet.Replica("single", "east").Cancelled() == 1);
}

TEST_CASE("a request ends at its route's timeout") {
  GatewayFleet fleet({.m_name = "gw-timeout", .m_timeout_ms = 400});
  fleet.Start();
  fleet.Replica("single", "east").SetMode(ReplicaMode::kHang);
  fleet.Replica("single", "west").SetMode(ReplicaMode::kHang);
  RawCaller caller(fleet.CallerPort());
  const TimePoint began = SteadyClock().Now();
  const auto reply = caller.Call("POST", "/book/x", "h1", "body");
  REQUIRE(reply);
  REQUIRE(reply->m_status == 504);
  REQUIRE(SteadyClock().Now() - began >= Milliseconds(400));
  REQUIRE(SteadyClock().Now() - began < Milliseconds(650));
}

TEST_CASE("a caller hears before its own deadline that no answer came") {
  constexpr int kDeadlineMs = 400;
  GatewayFleet fleet({.m_name = "gw-deadline"});
  fleet.Start();
  fleet.Replica("single", "east").SetMode(ReplicaMode::kHang);
  fleet.Replica("single", "west").SetMode(ReplicaMode::kHang);
  RawCaller caller(fleet.CallerPort());
  for (const char* id : {"d1", "d2", "d3"}) {
    const TimePoint began = SteadyClock().Now();
    const auto reply = caller.Call("POST", "/book/x", id, "body", kDeadlineMs);
    REQUIRE(reply);
    REQUIRE(reply->m_status == 504);
    REQUIRE(SteadyClock().Now() - began < Milliseconds(kDeadlineMs));
  }
}

TEST_CASE("an answer before the body is read leaves no bytes to others") {
  const std::string long_body(60'000, 'b');
  GatewayFleet fleet({.m_name = "gw-early"});
  fleet.Start();
  fleet.Replica("single", "east").SetMode(ReplicaMode::kEarly, 3);
  RawCaller caller(fleet.CallerPort());
  for (int call = 0; call < 6; ++call) {
    const std::string id = "e" + std::to_string(call);
    const auto reply = caller.Call("POST", "/book/x", id, long_body);
    INFO(id);
    REQUIRE(reply);
    REQUIRE((reply->m_status == 200 || reply->m_status == 503));
    REQUIRE(fleet.RunsOf(id) == (reply->m_status == 200 ? 1 : 0));
  }

  // Nothing arrived but the requests, with their bodies or refused before
  for (const char* domain : {"east", "west"}) {
    for (const SeenRequest& seen : fleet.Replica("single", domain).Seen()) {
      REQUIRE(seen.m_target == "/book/x");
      REQUIRE(seen.m_id.front() == 'e');
      REQUIRE((!seen.m_has_run || seen.m_body == long_body));
    }
  }
}

}  // namespace
}  // namespace jackdawrack
