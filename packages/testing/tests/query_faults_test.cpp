#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <future>

#include "testing/query_load.h"

namespace jackdawrack {
namespace {

constexpr std::size_t kPerSecond = 60;
constexpr int kRepetitions = 3;
constexpr std::uint16_t kNobodysPort = 1;
/// Time by which the published map follows what upstreams hold.
constexpr Milliseconds kMapLag{40};
constexpr double kGreatestExtraLoad = 0.05;
constexpr double kGreatestStragglerRatio = 1.3;
constexpr double kLeastComplete = 0.999;

TestFleetSettings MakeSettings(const std::string& name) {
  TestFleetSettings settings;
  settings.m_name = name;
  settings.m_map.m_shards = 25;
  settings.m_map.m_shards_per_block = 5;
  settings.m_service_ms = 4;

  // JACKDAWRACK_TEST_POLICY="key = value;key = value" switches mechanisms off
  if (const char* policy = std::getenv("JACKDAWRACK_TEST_POLICY")) {
    settings.m_policy = policy;
    std::replace(settings.m_policy.begin(), settings.m_policy.end(), ';', '\n');
  }
  return settings;
}

std::future<QueryLoadResult> StartLoad(TestFleet& fleet, Milliseconds length) {
  return std::async(std::launch::async, [&fleet, length] {
    return RunQueryLoad(fleet, kPerSecond, length);
  });
}

void Print(const std::string& what, const QueryLoadResult& result) {
  fmt::print(stderr, "{}: {}\n", what, result.ToText());
}

void RequireHonest(const QueryLoadResult& result) {
  INFO(result.ToText());
  REQUIRE(result.m_broken == 0);
  REQUIRE(result.m_mixed == 0);
  REQUIRE(result.m_untrue == 0);
  REQUIRE(result.m_foreign == 0);
}

// Executions beyond one for each shard of each query, as a share.
double ExtraLoad(TestFleet& fleet,
                 const QueryLoadResult& result,
                 std::uint64_t executed) {
  const double needed =
      static_cast<double>(result.m_sent * fleet.Map().m_shards.size());
  return static_cast<double>(executed) / needed - 1;
}

TEST_CASE("a version change under load mixes no answer and costs few",
          "[query_faults]") {
  TestFleet fleet(MakeSettings("version-change"));
  fleet.Start();
  auto load = StartLoad(fleet, Milliseconds(6'000));

  // Upstreams change one by one; the map follows in the middle
  std::size_t changed = 0;
  const std::size_t count = fleet.Map().m_upstreams.size();
  for (const Upstream& upstream : fleet.Map().m_upstreams) {
    fleet.SetUpstream(upstream.m_id.Text(), "{\"versions\": [7, 8]}");
    std::this_thread::sleep_for(Milliseconds(50));
    if (++changed == count / 2) {
      fleet.Map().m_previous_index_version = 7;
      fleet.Map().m_index_version = 8;
      ++fleet.Map().m_revision;
      fleet.PublishMap();
    }
  }
  const QueryLoadResult result = load.get();
  Print("version change", result);
  RequireHonest(result);
  REQUIRE(static_cast<double>(result.m_complete) >=
          kLeastComplete * static_cast<double>(result.m_sent));
}

TEST_CASE("a split and a move under load leave claims true", "[query_faults]") {
  TestFleet fleet(MakeSettings("split-move"));
  fleet.Start();
  auto load = StartLoad(fleet, Milliseconds(5'000));
  std::this_thread::sleep_for(Milliseconds(500));

  // Split shard 0; the lower half moves to the replicas of shard 1
  TestMap& map = fleet.Map();
  TestMap::TestShard upper = map.m_shards[0];
  const std::uint64_t middle = (upper.m_begin + upper.m_end) / 2;
  map.m_shards[0].m_end = middle;
  map.m_shards[0].m_replicas = map.m_shards[1].m_replicas;
  upper.m_name = "s-0b";
  upper.m_begin = middle;
  const std::string holds =
      fmt::format("{{\"holds\": [[{}, {}]]}}", upper.m_begin, upper.m_end);
  map.m_shards.push_back(upper);
  for (const std::string& replica : upper.m_replicas) {
    fleet.SetUpstream(replica, holds);
  }
  std::this_thread::sleep_for(kMapLag);
  ++map.m_revision;
  fleet.PublishMap();
  std::this_thread::sleep_for(Milliseconds(1'500));

  // Merge the halves again on the new replicas
  map.m_shards[0].m_end = upper.m_end;
  map.m_shards.pop_back();
  ++map.m_revision;
  fleet.PublishMap();
  const QueryLoadResult result = load.get();
  Print("split and move", result);
  RequireHonest(result);
  REQUIRE(static_cast<double>(result.m_complete) >=
          kLeastComplete * static_cast<double>(result.m_sent));
}

TEST_CASE("a leaving upstream gets no new work after three seconds",
          "[query_faults]") {
  TestFleet fleet(MakeSettings("leaving"));
  fleet.Start();
  auto load = StartLoad(fleet, Milliseconds(8'000));
  std::this_thread::sleep_for(Milliseconds(1'000));

  // One says so itself, one is published; the platform goes down after that
  fleet.SetUpstream("u-0-0", "{\"draining\": 1}");
  fleet.Map().Find("u-1-0").m_state = UpstreamState::kLeaving;
  ++fleet.Map().m_revision;
  fleet.PublishMap();
  std::this_thread::sleep_for(Milliseconds(3'000));
  const auto said_before = fleet.UpstreamCounts("u-0-0");
  const auto published_before = fleet.UpstreamCounts("u-1-0");
  fleet.Platform().Kill();
  const QueryLoadResult result = load.get();
  const auto said_after = fleet.UpstreamCounts("u-0-0");
  const auto published_after = fleet.UpstreamCounts("u-1-0");
  Print("leaving", result);
  RequireHonest(result);
  for (const char* counter : {"refused", "queries"}) {
    REQUIRE(JsonNumber(said_after, counter) ==
            JsonNumber(said_before, counter));
    REQUIRE(JsonNumber(published_after, counter) ==
            JsonNumber(published_before, counter));
  }
  REQUIRE(static_cast<double>(result.m_complete) >=
          kLeastComplete * static_cast<double>(result.m_sent));
}

TEST_CASE("what waits for a leaving upstream is sent elsewhere",
          "[query_faults]") {
  TestFleetSettings settings = MakeSettings("leaving-queue");
  settings.m_map.m_slots = 1;
  settings.m_policy += "\nhedging = no\n";
  settings.m_limits =
      "deadline_ms = 3000\nrate_per_second = 100000\nconcurrency = 10000\n";
  TestFleet fleet(settings);
  fleet.Start();
  fleet.SetUpstream("u-0-0", "{\"service_ms\": 700}");
  auto load = StartLoad(fleet, Milliseconds(500));
  std::this_thread::sleep_for(Milliseconds(400));
  fleet.Map().Find("u-0-0").m_state = UpstreamState::kLeaving;
  ++fleet.Map().m_revision;
  fleet.PublishMap();
  std::this_thread::sleep_for(Milliseconds(1'500));
  const auto before = fleet.UpstreamCounts("u-0-0");
  const QueryLoadResult result = load.get();
  const auto after = fleet.UpstreamCounts("u-0-0");
  Print("leaving queue", result);
  RequireHonest(result);
  REQUIRE(JsonNumber(after, "queries") == JsonNumber(before, "queries"));
  REQUIRE(result.m_complete == result.m_sent);
}

TEST_CASE("a straggler hardly moves the p99 and costs little extra load",
          "[query_faults]") {
  TestFleet fleet(MakeSettings("straggler"));
  fleet.Start();
  (void)RunQueryLoad(fleet, kPerSecond, Milliseconds(2'000));

  // Change between both several times, so that a busy host troubles both
  QueryLoadResult steady;
  QueryLoadResult slow;
  std::uint64_t executed_slow = 0;
  for (int i = 0; i < kRepetitions; ++i) {
    fleet.SetUpstream("u-0-0", "{\"service_ms\": 4}");
    steady.Add(RunQueryLoad(fleet, kPerSecond, Milliseconds(4'000)));
    fleet.SetUpstream("u-0-0", "{\"service_ms\": 40}");
    const std::uint64_t before = ExecutedQueries(fleet);
    slow.Add(RunQueryLoad(fleet, kPerSecond, Milliseconds(4'000)));
    executed_slow += ExecutedQueries(fleet) - before;
  }
  const double extra = ExtraLoad(fleet, slow, executed_slow);
  Print("steady", steady);
  Print("straggler", slow);
  fmt::print(stderr, "extra load {:.4f} hedges {} wins {} ejections {}\n",
             extra, SumOfMetric(fleet, "jackdawrack_hedges"),
             SumOfMetric(fleet, "jackdawrack_hedge_wins"),
             SumOfMetric(fleet, "jackdawrack_slow_ejections"));
  RequireHonest(slow);
  REQUIRE(extra <= kGreatestExtraLoad);
  REQUIRE(slow.QuantileMs(0.99) <=
          kGreatestStragglerRatio * steady.QuantileMs(0.99));
}

TEST_CASE("a lost replica leaves answers complete", "[query_faults]") {
  TestFleet fleet(MakeSettings("lost-replica"));
  fleet.Start();

  // Nothing listens where the map now says that this replica is
  fleet.Map().Find("u-0-0").m_endpoint.m_port = kNobodysPort;
  ++fleet.Map().m_revision;
  fleet.PublishMap();
  const std::uint64_t before = ExecutedQueries(fleet);
  const QueryLoadResult result =
      RunQueryLoad(fleet, kPerSecond, Milliseconds(4'000));
  Print("lost replica", result);
  RequireHonest(result);
  REQUIRE(ExtraLoad(fleet, result, ExecutedQueries(fleet) - before) <=
          kGreatestExtraLoad);
  REQUIRE(static_cast<double>(result.m_complete) >=
          kLeastComplete * static_cast<double>(result.m_sent));
}

TEST_CASE("a request past its deadline still counts for its slot",
          "[query_faults]") {
  TestFleetSettings settings = MakeSettings("held-slots");
  settings.m_limits =
      "deadline_ms = 100\nrate_per_second = 100000\nconcurrency = 10000\n";
  TestFleet fleet(settings);
  fleet.Start();
  fleet.SetUpstream("u-0-0", "{\"service_ms\": 300}");
  const QueryLoadResult result =
      RunQueryLoad(fleet, kPerSecond, Milliseconds(3'000));
  Print("held slots", result);
  RequireHonest(result);
  const auto counts = fleet.UpstreamCounts("u-0-0");
  REQUIRE(JsonNumber(counts, "queries") > 0);
  REQUIRE(JsonNumber(counts, "slot_overflows") == 0);
}

TEST_CASE("silent connections do not block an upstream", "[query_faults]") {
  TestFleetSettings settings = MakeSettings("silent");
  settings.m_policy += "\nhedging = no\nslow_ejection = no\n";
  TestFleet fleet(settings);
  fleet.Start();
  (void)RunQueryLoad(fleet, kPerSecond, Milliseconds(1'000));

  // As many requests as there are slots get no reply on their connections
  fleet.SetUpstream("u-0-0", "{\"swallow\": 4}");
  const QueryLoadResult result =
      RunQueryLoad(fleet, kPerSecond, Milliseconds(4'000));
  Print("silent", result);
  fmt::print(stderr, "abandoned {}\n",
             SumOfMetric(fleet, "jackdawrack_upstream_abandoned_connections"));
  RequireHonest(result);
  REQUIRE(static_cast<double>(result.m_complete) >=
          kLeastComplete * static_cast<double>(result.m_sent));
}

}  // namespace
}  // namespace jackdawrack
