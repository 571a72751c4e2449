#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <csignal>

#include "testing/gateway_fleet.h"
#include "testing/raw_caller.h"

namespace jackdawrack {
namespace {

const std::string kLeavingField = "Server-Leaving: 1\r\n";

// Sends one request; whether it is served depends on the retry budget.
void CallOnce(GatewayFleet& fleet) {
  RawCaller caller(fleet.CallerPort());
  REQUIRE(caller.Call("GET", "/one/x", "once").has_value());
}

// Sends requests one after the other; all have to be served.
void CallMany(GatewayFleet& fleet, const std::string& target, int count) {
  static int number = 0;
  RawCaller caller(fleet.CallerPort());
  for (int call = 0; call < count; ++call) {
    const auto reply =
        caller.Call("GET", target, fmt::format("many-{}", ++number));
    INFO(target << " " << call << " " << caller.LastProblem());
    REQUIRE(StatusOf(reply) == 200);
    REQUIRE(reply->Header("Server-Leaving").empty());
  }
}

// An upstream that said in its answers that it leaves got requests for as long
// as the store called it ready.
TEST_CASE("an upstream that says that it leaves gets no more requests") {
  const ReplicaMode mode =
      GENERATE(ReplicaMode::kAnswer, ReplicaMode::kRefuse, ReplicaMode::kFail,
               ReplicaMode::kTruncate, ReplicaMode::kUnframed);
  GatewayFleet fleet({.m_name = "gw-leaving"});
  fleet.Start();
  CallMany(fleet, "/one/x", 4);
  ReplicaStandin& east = fleet.Replica("single", "east");
  REQUIRE(east.Seen().size() > 0);
  east.SetExtraFields(kLeavingField);
  east.SetMode(mode, 1);
  CallOnce(fleet);
  const std::size_t before = east.Seen().size();
  CallMany(fleet, "/one/x", 20);

  // Neither a later record, nor reloaded settings, nor a new configuration, nor
  // a store that is away changes that
  fleet.PublishReplica("single", "east", "ready");
  fleet.Process(0).Signal(SIGHUP);
  fleet.PublishConfig(2, fleet.Shards());
  std::this_thread::sleep_for(Milliseconds(700));
  CallMany(fleet, "/one/x", 10);
  fleet.Store().SetMode(StoreMode::kRefuse);
  std::this_thread::sleep_for(Milliseconds(3'300));
  CallMany(fleet, "/one/x", 10);
  REQUIRE(east.Seen().size() == before);
  REQUIRE(fleet.LogText(0).find("6006 ReplicaLeaving upstream=u-single-east") !=
          std::string::npos);
}

TEST_CASE("a part or an abandoned answer that says leaving counts as well") {
  GatewayFleet fleet({.m_name = "gw-leaving-part"});
  fleet.Start();
  CallMany(fleet, "/q/x", 4);
  ReplicaStandin& part = fleet.Replica("shard-0", "east");
  part.SetExtraFields(kLeavingField);
  CallMany(fleet, "/q/x", 1);
  const std::size_t parts_before = part.Seen().size();
  CallMany(fleet, "/q/x", 20);
  REQUIRE(part.Seen().size() == parts_before);

  // The caller leaves before the answer
  ReplicaStandin& east = fleet.Replica("single", "east");
  east.SetExtraFields(kLeavingField);
  east.SetServiceTime(Milliseconds(150));
  {
    RawCaller caller(fleet.CallerPort());
    caller.Send(RawCaller::MakeRequest("POST", "/book/x", "left", "b", 2'000));
    std::this_thread::sleep_for(Milliseconds(50));
  }
  std::this_thread::sleep_for(Milliseconds(300));
  const std::size_t before = east.Seen().size();
  CallMany(fleet, "/one/x", 20);
  REQUIRE(east.Seen().size() == before);
}

TEST_CASE("an upstream that left and started again gets requests") {
  GatewayFleet fleet({.m_name = "gw-leaving-again"});
  fleet.Start();
  ReplicaStandin& east = fleet.Replica("single", "east");
  east.SetExtraFields(kLeavingField);
  CallMany(fleet, "/one/x", 5);
  east.SetExtraFields("");
  const std::size_t before = east.Seen().size();
  fleet.RestartReplica("single", "east");
  std::this_thread::sleep_for(Milliseconds(700));
  CallMany(fleet, "/one/x", 20);
  REQUIRE(east.Seen().size() > before);
}

TEST_CASE("the last upstream of a service serves for a part of the bound") {
  GatewayFleet fleet(
      {.m_name = "gw-leaving-last", .m_replica_domains = {"east"}});
  fleet.Start();
  ReplicaStandin& east = fleet.Replica("single", "east");
  east.SetExtraFields(kLeavingField);
  const TimePoint said_at = SteadyClock().Now();
  CallMany(fleet, "/one/x", 10);
  fleet.Process(0).Signal(SIGSTOP);
  std::this_thread::sleep_for(Milliseconds(500));
  fleet.Process(0).Signal(SIGCONT);
  CallMany(fleet, "/one/x", 10);
  std::this_thread::sleep_until(said_at + GatewayFleet::kDrainBound);
  const std::size_t before = east.Seen().size();
  RawCaller caller(fleet.CallerPort());
  REQUIRE(StatusOf(caller.Call("GET", "/one/x", "late")) == 503);
  REQUIRE(StatusOf(caller.Call("POST", "/book/x", "late-b", "b")) == 503);
  REQUIRE(east.Seen().size() == before);
}

// Requests went on reaching an upstream that had asked for a pause.
TEST_CASE("an upstream that asks for a pause is left alone for its length") {
  GatewayFleet fleet({.m_name = "gw-pause"});
  fleet.Start();
  CallMany(fleet, "/one/x", 4);
  ReplicaStandin& east = fleet.Replica("single", "east");
  east.SetExtraFields("Retry-After: 2.5\r\n");
  east.SetMode(ReplicaMode::kRefuse, 1);
  const TimePoint refused_at = SteadyClock().Now();
  CallOnce(fleet);
  const std::size_t before = east.Seen().size();

  // Many callers at once, through settings that are read again
  std::vector<std::thread> threads;
  fleet.Process(0).Signal(SIGHUP);
  for (int thread = 0; thread < 6; ++thread) {
    threads.emplace_back([&fleet, refused_at, thread] {
      RawCaller caller(fleet.CallerPort());
      int number = 0;
      while (SteadyClock().Now() < refused_at + Milliseconds(2'300)) {
        (void)caller.Call("GET", "/one/x",
                          fmt::format("p{}-{}", thread, ++number));
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  REQUIRE(east.Seen().size() == before);
  REQUIRE(fleet.Replica("single", "west").Seen().size() > 50);
  std::this_thread::sleep_until(refused_at + Milliseconds(3'500));
  CallMany(fleet, "/one/x", 20);
  REQUIRE(east.Seen().size() > before);
}

TEST_CASE("a pause goes on while the instance is stopped") {
  GatewayFleet fleet({.m_name = "gw-pause-stopped"});
  fleet.Start();
  CallMany(fleet, "/one/x", 4);
  ReplicaStandin& east = fleet.Replica("single", "east");
  east.SetExtraFields("Retry-After: 1.5\r\n");
  east.SetMode(ReplicaMode::kRefuse, 1);
  CallOnce(fleet);
  const std::size_t before = east.Seen().size();
  fleet.Process(0).Signal(SIGSTOP);
  std::this_thread::sleep_for(Milliseconds(2'000));
  fleet.Process(0).Signal(SIGCONT);
  std::this_thread::sleep_for(Milliseconds(1'500));
  CallMany(fleet, "/one/x", 20);
  REQUIRE(east.Seen().size() > before);
}

TEST_CASE("while every upstream pauses, requests are refused at once") {
  GatewayFleet fleet({.m_name = "gw-pause-all", .m_replica_domains = {"east"}});
  fleet.Start();
  ReplicaStandin& east = fleet.Replica("single", "east");
  east.SetExtraFields("Retry-After: 2\r\n");
  east.SetMode(ReplicaMode::kRefuse, 1);
  RawCaller caller(fleet.CallerPort());
  REQUIRE(StatusOf(caller.Call("GET", "/one/x", "first")) == 503);
  const std::size_t before = east.Seen().size();
  for (const char* target : {"/one/x", "/book/x"}) {
    const TimePoint began = SteadyClock().Now();
    const auto reply = caller.Call("POST", target, "refused", "b", 900);
    REQUIRE(StatusOf(reply) == 503);
    REQUIRE(SteadyClock().Now() - began < Milliseconds(100));
    const double retry_after = std::stod(reply->Header("Retry-After"));
    REQUIRE(retry_after > 0.2);
    REQUIRE(retry_after <= 0.3);
  }

  // A scattered query leaves the shard out if its route allows that
  ReplicaStandin& shard = fleet.Replica("shard-0", "east");
  shard.SetExtraFields("Retry-After: 2\r\n");
  shard.SetMode(ReplicaMode::kRefuse, 1);
  REQUIRE(StatusOf(caller.Call("GET", "/q/x", "q1")) == 200);
  const std::size_t parts_before = shard.Seen().size();
  const auto reply = caller.Call("GET", "/q/x", "q2");
  REQUIRE(StatusOf(reply) == 200);
  REQUIRE(reply->Header("X-Missing-Parts") == "1");
  REQUIRE(shard.Seen().size() == parts_before);
  REQUIRE(east.Seen().size() == before);
}

TEST_CASE("a pause that is no number of seconds is ignored") {
  GatewayFleet fleet({.m_name = "gw-pause-odd"});
  fleet.Start();
  ReplicaStandin& east = fleet.Replica("single", "east");
  for (const char* value :
       {"-5", "later", "", "1e300", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
    INFO(value);
    east.SetExtraFields(fmt::format("Retry-After: {}\r\n", value));
    east.SetMode(ReplicaMode::kRefuse, 1);
    CallOnce(fleet);
    const std::size_t before = east.Seen().size();
    std::this_thread::sleep_for(Milliseconds(1'000));
    CallMany(fleet, "/one/x", 5);
    REQUIRE(east.Seen().size() > before);
    REQUIRE_FALSE(fleet.Process(0).HasEnded());
  }
}

}  // namespace
}  // namespace jackdawrack
