#include <catch2/catch.hpp>

#include "testing/index_publisher.h"
#include "testing/steady_callers.h"

namespace jackdawrack {
namespace {

constexpr std::uint64_t kSeed = 402;
constexpr int kChanges = 40;
constexpr Milliseconds kBetweenChanges{100};

TestFleetSettings MakeSettings(const std::string& name) {
  TestFleetSettings settings;
  settings.m_name = name;
  settings.m_proxied = true;
  settings.m_proxy_seed = kSeed;
  return settings;
}

void Repartition(TestFleet& fleet) {
  std::mt19937_64 random(kSeed);
  for (int i = 0; i < kChanges; ++i) {
    PublishRepartition(fleet, random);
    std::this_thread::sleep_for(kBetweenChanges);
  }
}

TEST_CASE("claimed ranges are delivered ranges during splits, merges, moves") {
  TestFleet fleet(MakeSettings("coverage"));
  fleet.Start();
  SteadyCallers callers(fleet, SteadyCallersSettings{kSeed, 6});
  Repartition(fleet);
  callers.Stop();
  REQUIRE(callers.FirstFault() == "");
  INFO(callers.CompleteAnswers() << " complete of " << callers.Queries());
  REQUIRE(callers.CompleteAnswers() == callers.Queries());
}

TEST_CASE("claimed ranges are delivered ranges with replicas lost and a cut") {
  TestFleet fleet(MakeSettings("coverage-cut"));
  fleet.Start();
  SteadyCallers callers(fleet, SteadyCallersSettings{kSeed, 6});
  FaultRule lost;
  lost.m_match.m_link = "u-0-0";
  FaultRule also_lost;
  also_lost.m_match.m_link = "u-3-1";
  fleet.Proxy().Add({lost, also_lost});
  fleet.CutDomains("south", "west");
  Repartition(fleet);
  callers.Stop();
  REQUIRE(callers.FirstFault() == "");
  REQUIRE(callers.CompleteAnswers() > 0);
}

TEST_CASE("one lost replica of each shard leaves every answer complete") {
  TestFleet fleet(MakeSettings("coverage-replica"));
  fleet.Start();
  FaultRule lost;
  lost.m_match.m_link = "u-0-0";
  fleet.Proxy().Add({lost});
  SteadyCallers callers(fleet, SteadyCallersSettings{kSeed, 4});
  std::this_thread::sleep_for(Milliseconds(2000));
  callers.Stop();
  REQUIRE(callers.FirstFault() == "");
  INFO(callers.CompleteAnswers() << " complete of " << callers.Queries());
  REQUIRE(callers.CompleteAnswers() == callers.Queries());
}

}  // namespace
}  // namespace jackdawrack
