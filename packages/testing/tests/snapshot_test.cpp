#include <catch2/catch.hpp>
#include <csignal>

#include "testing/index_publisher.h"
#include "testing/steady_callers.h"

namespace jackdawrack {
namespace {

constexpr std::uint64_t kSeed = 401;
constexpr int kChanges = 5;
constexpr Milliseconds kBetweenChanges{1000};

TestFleetSettings MakeSettings(const std::string& name) {
  TestFleetSettings settings;
  settings.m_name = name;
  settings.m_proxied = true;
  settings.m_proxy_seed = kSeed;
  return settings;
}

TEST_CASE(
    "no answer mixes two versions while the version changes each second") {
  TestFleet fleet(MakeSettings("snapshot"));
  fleet.Start();
  SteadyCallers callers(fleet, SteadyCallersSettings{kSeed, 6});
  for (int i = 0; i < kChanges; ++i) {
    PublishNextIndexVersion(fleet);
    std::this_thread::sleep_for(kBetweenChanges);
  }
  callers.Stop();
  REQUIRE(callers.FirstFault() == "");
  INFO(callers.CompleteAnswers() << " complete of " << callers.Queries());
  REQUIRE(callers.CompleteAnswers() == callers.Queries());
}

TEST_CASE("no answer mixes two versions when a stopped instance wakes late") {
  TestFleet fleet(MakeSettings("snapshot-wake"));
  fleet.Start();
  SteadyCallers callers(fleet, SteadyCallersSettings{kSeed, 6});
  for (int i = 0; i < 2; ++i) {
    fleet.Process("south-1").Signal(SIGSTOP);
    PublishNextIndexVersion(fleet);
    std::this_thread::sleep_for(kBetweenChanges);
    PublishNextIndexVersion(fleet);
    fleet.Process("south-1").Signal(SIGCONT);
    std::this_thread::sleep_for(kBetweenChanges);
  }
  callers.Stop();
  REQUIRE(callers.FirstFault() == "");
  REQUIRE(callers.CompleteAnswers() > 0);
}

TEST_CASE("no answer mixes two versions over lossy links and cut domains") {
  TestFleet fleet(MakeSettings("snapshot-cut"));
  fleet.Start();
  FaultRule lossy;
  lossy.m_fault = ProxyFault::kDelay;
  lossy.m_delay = Milliseconds(3);
  lossy.m_jitter = Milliseconds(20);
  lossy.m_stalls_per_mille = 20;
  fleet.Proxy().Add({lossy});
  SteadyCallers callers(fleet, SteadyCallersSettings{kSeed, 6});
  PublishNextIndexVersion(fleet);
  fleet.CutDomains("east", "west");
  std::this_thread::sleep_for(kBetweenChanges);
  PublishNextIndexVersion(fleet);
  std::this_thread::sleep_for(kBetweenChanges);
  callers.Stop();
  REQUIRE(callers.FirstFault() == "");
  REQUIRE(callers.CompleteAnswers() > 0);
}

}  // namespace
}  // namespace jackdawrack
