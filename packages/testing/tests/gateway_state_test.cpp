#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <fstream>

#include "testing/gateway_fleet.h"
#include "testing/raw_caller.h"

namespace jackdawrack {
namespace {

/// Bound on the time until a published change is in force.
constexpr Milliseconds kApplyTime{3'000};

// Polls until `is_true` or the time is over.
template <typename Check>
bool Within(Milliseconds time, const Check& is_true) {
  const TimePoint until = SteadyClock().Now() + time;
  while (SteadyClock().Now() < until) {
    if (is_true()) {
      return true;
    }
    std::this_thread::sleep_for(Milliseconds(20));
  }
  return false;
}

TEST_CASE("a new set of shards is in force in time, and no answer mixes sets") {
  GatewayFleet fleet({.m_name = "gw-reshard"});
  fleet.Start();
  const std::vector<std::string> next{"next-0", "next-1", "next-2"};
  for (const std::string& service : next) {
    fleet.AddService(service);
  }
  fleet.PublishConfig(5, next);
  fleet.PublishConfig(4, fleet.Shards());
  RawCaller caller(fleet.CallerPort());
  int number = 0;
  const bool is_in_force = Within(kApplyTime, [&] {
    const auto reply =
        caller.Call("GET", "/q/x", "r" + std::to_string(++number));
    const std::string stamps = reply->Header("X-Part-Stamps");
    const bool has_old = stamps.find("shard-") != std::string::npos;
    const bool has_new = stamps.find("next-") != std::string::npos;
    REQUIRE(has_old != has_new);
    return has_new;
  });
  REQUIRE(is_in_force);

  // A lower version that was published later never comes into force
  std::this_thread::sleep_for(Milliseconds(600));
  const auto reply = caller.Call("GET", "/q/x", "last");
  REQUIRE(reply->Header("X-Part-Stamps").find("next-") != std::string::npos);
}

TEST_CASE("a replica that drains gets no new work in time") {
  GatewayFleet fleet({.m_name = "gw-drain"});
  fleet.Start();
  RawCaller caller(fleet.CallerPort());
  REQUIRE(StatusOf(caller.Call("GET", "/one/x", "d0")) == 200);
  fleet.PublishReplica("single", "east", "draining");
  std::this_thread::sleep_for(Milliseconds(1'500));
  const std::size_t before = fleet.Replica("single", "east").Seen().size();
  for (int call = 0; call < 10; ++call) {
    REQUIRE(StatusOf(caller.Call("GET", "/one/x",
                                 "d" + std::to_string(call + 1))) == 200);
  }
  REQUIRE(fleet.Replica("single", "east").Seen().size() == before);
}

TEST_CASE("queries go on while the store is away in any way") {
  const StoreMode mode =
      GENERATE(StoreMode::kRefuse, StoreMode::kTooMany, StoreMode::kSilent);
  GatewayFleet fleet({.m_name = "gw-store-away"});
  fleet.Start();
  fleet.Store().SetMode(mode);
  RawCaller caller(fleet.CallerPort());
  for (int call = 0; call < 10; ++call) {
    REQUIRE(StatusOf(caller.Call("GET", "/q/x", "s" + std::to_string(call))) ==
            200);
    std::this_thread::sleep_for(Milliseconds(100));
  }
  REQUIRE(fleet.IsReady(0));

  // What changed meanwhile is in force soon after it is back
  fleet.AddService("next-0");
  fleet.PublishConfig(9, {"next-0"});
  fleet.Store().SetMode(StoreMode::kServe);
  int number = 0;
  REQUIRE(Within(Milliseconds(6'000), [&] {
    const auto reply =
        caller.Call("GET", "/q/x", "t" + std::to_string(++number));
    return reply->Header("X-Part-Stamps").find("next-") != std::string::npos;
  }));
}

TEST_CASE("history that is gone leads to a new listing") {
  GatewayFleet fleet({.m_name = "gw-history"});
  fleet.Start();
  fleet.Store().SetMode(StoreMode::kRefuse);
  std::this_thread::sleep_for(Milliseconds(200));
  fleet.Store().Remove("servers/" + GatewayFleet::ReplicaId("single", "east"));
  fleet.Store().ForgetHistory();
  fleet.Store().SetMode(StoreMode::kServe);

  // The record is kept while it may only have lapsed, then it is gone
  std::this_thread::sleep_for(Milliseconds(4'500));
  RawCaller caller(fleet.CallerPort());
  const std::size_t before = fleet.Replica("single", "east").Seen().size();
  REQUIRE(StatusOf(caller.Call("GET", "/one/x", "h1")) == 200);
  REQUIRE(fleet.Replica("single", "east").Seen().size() == before);
}

TEST_CASE("requests without any replica are refused, and it lives on") {
  GatewayFleet fleet({.m_name = "gw-nobody"});
  fleet.Start();
  RawCaller caller(fleet.CallerPort());
  REQUIRE(StatusOf(caller.Call("GET", "/q/x", "n0")) == 200);
  for (const std::string& service :
       {std::string("single"), std::string("shard-0"),
        std::string("shard-1")}) {
    for (const char* domain : {"east", "west"}) {
      fleet.Store().Remove("servers/" +
                           GatewayFleet::ReplicaId(service, domain));
    }
  }
  std::this_thread::sleep_for(Milliseconds(1'000));
  for (int call = 0; call < 200; ++call) {
    const std::string id = "n" + std::to_string(call + 1);
    REQUIRE(StatusOf(caller.Call("POST", "/book/x", id + "b", "body")) == 503);
    const auto query = StatusOf(caller.Call("GET", "/q/x", id + "q"));
    REQUIRE((query == 502 || query == 503));
  }
  fleet.PublishReplica("single", "east", "ready");
  REQUIRE(Within(Milliseconds(2'000), [&] {
    return StatusOf(caller.Call("GET", "/one/x", "back")) == 200;
  }));
}

TEST_CASE("records of another writer leave the others in use") {
  GatewayFleet fleet({.m_name = "gw-forged"});
  fleet.Start();
  fleet.Store().Put("servers/forged-1", "\x01\xff not json");
  fleet.Store().Put("servers/forged-2", R"({"service":7,"state":"ready"})");
  fleet.Store().Put("op/config", "{}");
  std::this_thread::sleep_for(Milliseconds(1'000));
  RawCaller caller(fleet.CallerPort());
  REQUIRE(StatusOf(caller.Call("GET", "/q/x", "f1")) == 200);
  REQUIRE(Within(Milliseconds(1'000), [&] {
    return fleet.LogText(0).find("2013 PublishedValueIgnored key=op/config") !=
           std::string::npos;
  }));
}

// The address was taken for one of an upstream: requests given to it were never
// answered, and processes ended.
TEST_CASE("a record with an address that is not IPv4 loses no request") {
  GatewayFleet fleet(
      {.m_name = "gw-odd-address", .m_replica_domains = {"east"}});
  fleet.Start();
  // Slower than an unknown upstream is expected to be, so that one is tried
  fleet.Replica("single", "east").SetServiceTime(Milliseconds(60));
  for (const char* address :
       {"[::1]:8080", "127.0.0.256:8080", "bad:8080", "127.0.0.1:0"}) {
    fleet.Store().Put(
        fmt::format("servers/odd-{}", fleet.Store().CallCount()),
        fmt::format(R"({{"service":"single","address":"{}","zone":"east",)"
                    R"("version":"v","maxConcurrency":4,"state":"ready",)"
                    R"("coldMs":0,"sequence":1,"born":1000}})",
                    address));
    std::this_thread::sleep_for(Milliseconds(600));
    for (int call = 0; call < 12; ++call) {
      INFO(address << " " << call);
      const std::string id = fmt::format("o{}", call);
      RawCaller caller(fleet.CallerPort());
      REQUIRE(StatusOf(caller.Call("GET", "/one/x", id)) == 200);
      REQUIRE(StatusOf(caller.Call("POST", "/book/x", id + "b", "lens")) ==
              200);
    }
  }
  REQUIRE_FALSE(fleet.Process(0).HasEnded());
}

TEST_CASE("odd records of another writer stop no instance from following") {
  GatewayFleet fleet(
      {.m_name = "gw-odd-records", .m_instance_domains = {"east", "west"}});
  fleet.Start();
  const std::string deep(100'000, '[');
  const auto record = [](const std::string& address, const std::string& slots,
                         const std::string& cold) {
    return fmt::format(R"({{"service":"single","address":"{}","zone":"east",)"
                       R"("version":"v","maxConcurrency":{},"state":"ready",)"
                       R"("coldMs":{},"sequence":1,"born":1000}})",
                       address, slots, cold);
  };
  int number = 0;
  for (const std::string& odd :
       {deep, record("127.0.0.1:9", deep, "0"),
        record("127.0.0.1:9", "1e999", "0"),
        record("127.0.0.1:9", "99999999999999999999", "0"),
        record("127.0.0.1:9", "4", "18446744073709551615"),
        record("127.0.0.1:99999", "4", "0"),
        record("127.0.0.1:-1", "4", "0")}) {
    INFO(odd.substr(0, 200));
    fleet.Store().Put(fmt::format("servers/odd-{}", ++number), odd);
    // What is published next is in force on all instances
    const std::string service = fmt::format("next-{}", number);
    fleet.AddService(service);
    fleet.PublishConfig(static_cast<std::uint64_t>(number) + 1, {service});
    for (const std::size_t instance : {std::size_t{0}, std::size_t{1}}) {
      REQUIRE(Within(kApplyTime, [&] {
        RawCaller caller(fleet.CallerPort(instance));
        const auto reply = caller.Call("GET", "/q/x", "probe");
        return reply && reply->Header("X-Part-Stamps").find(service) !=
                            std::string::npos;
      }));
      REQUIRE_FALSE(fleet.Process(instance).HasEnded());
    }
  }

  // A process that lists them at its start serves as well
  fleet.Process(0).Kill();
  fleet.StartInstance(0);
  REQUIRE(fleet.WaitReady(0));
  RawCaller caller(fleet.CallerPort());
  for (int call = 0; call < 8; ++call) {
    REQUIRE(StatusOf(caller.Call("GET", "/one/x", fmt::format("l{}", call))) ==
            200);
  }
}

TEST_CASE("an instance that the store refuses starts with what a peer knows") {
  GatewayFleet fleet(
      {.m_name = "gw-peer-state", .m_instance_domains = {"east", "west"}});
  fleet.Start();
  fleet.Process(1).Kill();
  fleet.Store().SetMode(StoreMode::kRefuse);
  fleet.StartInstance(1);
  REQUIRE(fleet.WaitReady(1, 2'000));
  RawCaller caller(fleet.CallerPort(1));
  REQUIRE(StatusOf(caller.Call("GET", "/q/x", "p1")) == 200);
}

TEST_CASE(
    "an instance that knows nothing refuses, and says when to come back") {
  GatewayFleet fleet({.m_name = "gw-no-state"});
  fleet.Start();
  fleet.Process(0).Kill();
  fleet.Store().SetMode(StoreMode::kRefuse);
  fleet.StartInstance(0);
  std::this_thread::sleep_for(Milliseconds(200));
  RawCaller caller(fleet.CallerPort());
  const auto reply = caller.Call("GET", "/q/x", "n1");
  REQUIRE(StatusOf(reply) == 503);
  REQUIRE(!reply->Header("Retry-After").empty());
  REQUIRE_FALSE(fleet.IsReady(0));
}

TEST_CASE("a planned stop ends no request and keeps taking them for a while") {
  GatewayFleet fleet({.m_name = "gw-stop"});
  fleet.Start();
  fleet.Replica("single", "east").SetServiceTime(Milliseconds(300));
  RawCaller kept(fleet.CallerPort());
  REQUIRE(StatusOf(kept.Call("GET", "/one/x", "k0")) == 200);
  fleet.Process(0).Signal(SIGTERM);
  REQUIRE(Within(Milliseconds(500), [&] { return !fleet.IsReady(0); }));

  // New connections are served until the balancer has noticed
  int number = 0;
  const TimePoint until = SteadyClock().Now() + Milliseconds(2'000);
  while (SteadyClock().Now() < until) {
    RawCaller caller(fleet.CallerPort());
    const auto reply =
        caller.Call("GET", "/one/x", "n" + std::to_string(++number));
    REQUIRE(StatusOf(reply) == 200);
    REQUIRE(reply->Header("Connection") == "close");
  }
  REQUIRE(fleet.Process(0).WaitExit(6'000) == 0);
}

TEST_CASE("idle connections that end with a planned stop cut no request") {
  // Requests on kept connections cross the end of those connections
  for (int round = 0; round < 3; ++round) {
    GatewayFleet fleet({.m_name = "gw-stop-idle"});
    fleet.Start();
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int i = 0; i < 40; ++i) {
      callers.push_back(std::make_unique<RawCaller>(fleet.CallerPort()));
    }
    fleet.Process(0).Signal(SIGTERM);
    std::this_thread::sleep_for(Milliseconds(2'560));
    for (std::size_t i = 0; i < callers.size(); ++i) {
      const std::string id =
          "i" + std::to_string(round) + "-" + std::to_string(i);
      const auto reply = callers[i]->Call("POST", "/book/x", id, "body");
      INFO(id);
      REQUIRE(fleet.RunsOf(id) == (reply ? 1 : 0));
      std::this_thread::sleep_for(Milliseconds(2));
    }
    REQUIRE(fleet.Process(0).WaitExit(6'000) == 0);
  }
}

TEST_CASE("changed settings are in force at once where they can be") {
  GatewayFleet fleet({.m_name = "gw-reload"});
  fleet.Start();
  RawCaller caller(fleet.CallerPort());
  REQUIRE(StatusOf(caller.Call("GET", "/one/x", "first")) == 200);

  // No repeats from now on, every request logged, and another store later
  std::ifstream old_file(fleet.SettingsPath(0));
  std::string text(std::istreambuf_iterator<char>(old_file), {});
  for (const auto& [from, to] : {std::pair<std::string, std::string>{
                                     "repeat_ratio = 0.2", "repeat_ratio = 0"},
                                 {"repeat_slack = 58", "repeat_slack = 0"},
                                 {"stable_ms = 2000", "stable_ms = 3000"}}) {
    text.replace(text.find(from), from.size(), to);
  }
  std::ofstream(fleet.SettingsPath(0)) << text << "[log]\nsample_one_in = 1\n";
  fleet.Process(0).Signal(SIGHUP);
  REQUIRE(Within(Milliseconds(1'000), [&] {
    return fleet.LogText(0).find(
               "1008 SettingsReloaded changed=true "
               "at_next_start=\"[bounds] stable_ms\"") != std::string::npos;
  }));
  fleet.Replica("single", "east").SetMode(ReplicaMode::kRefuse, 1);
  REQUIRE(StatusOf(caller.Call("GET", "/one/x", "second")) == 503);
  REQUIRE(StatusOf(caller.Call("GET", "/one/x", "third")) == 200);
  REQUIRE(Within(Milliseconds(1'000), [&] {
    return fleet.LogText(0).find("request=third") != std::string::npos;
  }));
}

TEST_CASE("changed settings are read again; bad ones change nothing") {
  GatewayFleet fleet({.m_name = "gw-hup"});
  fleet.Start();
  std::ofstream(fleet.SettingsPath(0), std::ios::app) << "surprise = 1\n";
  fleet.Process(0).Signal(SIGHUP);
  RawCaller caller(fleet.CallerPort());
  REQUIRE(Within(Milliseconds(1'000), [&] {
    const std::string log = fleet.LogText(0);
    return log.find("1004 SettingsRefused") != std::string::npos &&
           log.find("surprise") != std::string::npos;
  }));
  REQUIRE(StatusOf(caller.Call("GET", "/q/x", "u1")) == 200);
}

}  // namespace
}  // namespace jackdawrack
