#include <fmt/format.h>
#include <fmt/ranges.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

#include "testing/gateway_fleet.h"
#include "testing/raw_caller.h"

namespace jackdawrack {
namespace {

// A record of a replica with numbers of its own.
std::string MakeRecord(GatewayFleet& fleet,
                       const std::string& service,
                       const std::string& numbers) {
  return fmt::format(
      R"({{"service":"{}","address":"{}","zone":"east","version":"v",)"
      R"("state":"ready",{}}})",
      service, fleet.ReplicaEndpoint(service, "east").ToText(), numbers);
}

// A configuration with the three routes of the fleet and numbers of its own.
std::string MakeConfig(GatewayFleet& fleet,
                       std::uint64_t version,
                       const std::string& times,
                       const std::string& gather,
                       const std::string& weights,
                       const std::string& limits) {
  return fmt::format(
      R"({{"version":{0},"routes":[)"
      R"({{"name":"q","host":"app.test","prefix":"/q/","type":"safe",{1},)"
      R"("gather":["{2}"],{3}}},)"
      R"({{"name":"one","host":"app.test","prefix":"/one/","type":"safe",{1},)"
      R"("trafficSplit":[{4}]}},)"
      R"({{"name":"book","host":"app.test","prefix":"/book/","type":"unsafe",)"
      R"({1},"service":"single"}}],"services":[)"
      R"({{"name":"single","healthPath":"/h","maxConnections":4294967295}},)"
      R"({{"name":"shard-0","healthPath":"/h","maxConnections":0}}],)"
      R"("limits":{{{5}}}}})",
      version, times, fmt::join(fleet.Shards(), "\",\""), gather, weights,
      limits);
}

/// A connection without any idle time may be closed before its request arrives.
constexpr int kMaxSends = 3;

// Sends requests of all routes with deadlines of any size; each has to get an
// answer of some kind.
void CallAll(GatewayFleet& fleet, const std::string& name) {
  for (const char* target : {"/q/x", "/one/x", "/book/x"}) {
    for (const char* deadline :
         {"0", "1", "2000", "4294967295", "18446744073709551615", "-1", "x"}) {
      const std::string id = name + target + deadline;
      INFO(id);
      bool is_answered = false;
      for (int sent = 0; sent < kMaxSends && !is_answered; ++sent) {
        RawCaller caller(fleet.CallerPort());
        caller.Send(fmt::format(
            "GET {} HTTP/1.1\r\nHost: app.test\r\nX-Request-Id: {}\r\n"
            "X-Deadline-Ms: {}\r\n\r\n",
            target, id, deadline));
        is_answered = caller.Read().has_value();
      }
      REQUIRE(is_answered);
    }
  }
  REQUIRE(!fleet.Process(0).HasEnded());
}

// Numbers at the ends of what a field can hold are calculated with in the
// choice of replicas, in shares, deadlines and waits.
TEST_CASE("records of extreme numbers do not end an instance") {
  GatewayFleet fleet({.m_name = "gw-extreme-records"});
  fleet.Start();
  int number = 0;
  for (const char* numbers :
       {R"("maxConcurrency":0,"coldMs":0,"sequence":0,"born":0)",
        R"("maxConcurrency":4294967295,"coldMs":31536000000,"sequence":1,)"
        R"("born":18446744073709551615)",
        R"("maxConcurrency":4294967295,"coldMs":31536000001,"sequence":1,)"
        R"("born":18446744073709551615)",
        R"("maxConcurrency":1e308,"coldMs":-1,"sequence":1,"born":1e19)",
        R"("maxConcurrency":1,"coldMs":0,"sequence":18446744073709551615,)"
        R"("born":18446744073709551615)"}) {
    for (const char* service : {"single", "shard-0", "shard-1"}) {
      fleet.Store().Put("servers/" + GatewayFleet::ReplicaId(service, "east"),
                        MakeRecord(fleet, service, numbers));
    }
    std::this_thread::sleep_for(Milliseconds(700));
    CallAll(fleet, fmt::format("r{}", ++number));
    REQUIRE(!fleet.Metrics(0).empty());
  }
}

TEST_CASE("configurations of extreme numbers do not end an instance") {
  GatewayFleet fleet({.m_name = "gw-extreme-configs"});
  fleet.Start();
  const std::string shortest =
      R"("timeoutMs":0,"targetLatencyMs":0,"maxAttempts":0,"priority":0)";
  const std::string longest =
      R"("timeoutMs":31536000000,"targetLatencyMs":31536000000,)"
      R"("maxAttempts":4294967295,"priority":4294967295)";
  const std::string usual =
      R"("timeoutMs":1500,"targetLatencyMs":300,"maxAttempts":2,"priority":9)";
  const std::string no_limits =
      R"("maxHeaderBytes":4294967295,"maxBodyBytes":18446744073709551615,)"
      R"("headerTimeoutMs":31536000000,"idleTimeoutMs":31536000000)";
  const std::string all_parts = R"("topK":4294967295,"minVersion":1e308)";
  const std::string no_part = R"("topK":0,"minVersion":0)";
  const auto split = [](const char* weight) {
    return fmt::format(R"({{"service":"single","weight":{0}}},)"
                       R"({{"service":"shard-0","weight":{0}}},)"
                       R"({{"service":"unknown","weight":0}})",
                       weight);
  };
  std::uint64_t version = 1;
  const auto apply = [&](const std::string& times, const std::string& gather,
                         const char* weight, const std::string& limits) {
    fleet.Store().Put("op/config", MakeConfig(fleet, ++version, times, gather,
                                              split(weight), limits));
    std::this_thread::sleep_for(Milliseconds(700));
    CallAll(fleet, fmt::format("c{}", version));
  };
  apply(longest, all_parts, "1e308", no_limits);
  apply(usual, all_parts, "0", "");
  apply(shortest, no_part, "5e-324", R"("maxHeaderBytes":4096)");
  apply(usual, no_part, "1", R"("idleTimeoutMs":0,"headerTimeoutMs":1000)");

  // A version that nothing can follow
  version = UINT64_MAX - 1;
  apply(longest, no_part, "1", no_limits);
}

TEST_CASE("answers of extreme numbers do not end an instance") {
  GatewayFleet fleet({.m_name = "gw-extreme-answers"});
  fleet.Start();
  RawCaller caller(fleet.CallerPort());
  int number = 0;
  for (const char* text :
       {"0", "1e308", "0.0000001", "99999999999999999999999", "4294967295",
        "18446744073709551615", "-1", ".", "1.2.3", "nan", "inf"}) {
    const std::string keep_alive =
        fmt::format("Keep-Alive: timeout={0}, max={0}\r\n", text);
    const std::string pause = fmt::format("Retry-After: {}\r\n", text);
    for (const char* status : {"200 OK", "503 Busy", "999 X", "000 X"}) {
      for (const char* domain : {"east", "west"}) {
        ReplicaStandin& replica = fleet.Replica("single", domain);
        RawAnswer answer;
        answer.m_bytes = fmt::format(
            "HTTP/1.1 {}\r\nX-Request-Id: {{id}}\r\nX-Server-Stamp: s\r\n"
            "{}{}Content-Length: 2\r\n\r\nok",
            status, keep_alive, pause);
        replica.SetRawAnswer(std::move(answer));
        replica.SetMode(ReplicaMode::kRaw);
      }
      INFO(text << " " << status);
      REQUIRE(
          caller.Call("GET", "/one/x", fmt::format("a{}", ++number), "", 400)
              .has_value());
    }
  }
  REQUIRE(!fleet.Process(0).HasEnded());
}

}  // namespace
}  // namespace jackdawrack
