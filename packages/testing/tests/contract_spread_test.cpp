#include <catch2/catch.hpp>

#include "testing/contract_watch.h"
#include "testing/test_fleet.h"

namespace jackdawrack {
namespace {

constexpr std::uint64_t kSeed = 406;
/// The promise: in force on every reachable instance within this time.
constexpr Milliseconds kInForceBound{5000};

TestFleetSettings MakeSettings(const std::string& name) {
  TestFleetSettings settings;
  settings.m_name = name;
  settings.m_instances_per_domain = 2;
  settings.m_proxied = true;
  settings.m_proxy_seed = kSeed;
  return settings;
}

// The slowest instance's time to have `version` in force.
Milliseconds TimeInForce(TestFleet& fleet, std::uint64_t version) {
  const TimePoint start = SteadyClock().Now();
  for (const std::string& instance : fleet.InstanceNames()) {
    while (fleet.ContractVersion(instance) < version) {
      const auto waited = SteadyClock().Now() - start;
      if (waited > kInForceBound) {
        FAIL(instance << " has version " << fleet.ContractVersion(instance)
                      << ", not " << version << ", after 5 s");
      }
      std::this_thread::sleep_for(Milliseconds(5));
    }
  }
  return std::chrono::duration_cast<Milliseconds>(SteadyClock().Now() - start);
}

TEST_CASE("a contract is in force on every instance within 5 s") {
  TestFleet fleet(MakeSettings("contract"));
  fleet.Start();
  for (std::uint64_t version = 2; version <= 20; ++version) {
    fleet.PublishContract(version);
    REQUIRE(TimeInForce(fleet, version) <= kInForceBound);
  }
}

TEST_CASE(
    "a contract is in force within 5 s in a domain cut off the platform") {
  TestFleet fleet(MakeSettings("contract-cut"));
  fleet.Start();
  fleet.CutPlatform("west");
  fleet.PublishContract(2);
  REQUIRE(TimeInForce(fleet, 2) <= kInForceBound);
}

TEST_CASE("a contract is in force within 5 s over connections gone silent") {
  TestFleet fleet(MakeSettings("contract-silent"));
  fleet.Start();
  fleet.Proxy().Silence(ProxyMatch{});
  fleet.PublishContract(2);
  REQUIRE(TimeInForce(fleet, 2) <= kInForceBound);
}

TEST_CASE("a contract never goes back when the platform comes back older") {
  TestFleet fleet(MakeSettings("contract-older"));
  fleet.Start();
  ContractWatch watch(fleet);
  fleet.PublishContract(5);
  (void)TimeInForce(fleet, 5);

  // The platform loses what was published and starts with version 1
  fleet.Platform().Kill();
  fleet.StartPlatform();
  std::this_thread::sleep_for(Milliseconds(1500));

  // Replace every instance in turn
  for (const std::string& instance : fleet.InstanceNames()) {
    fleet.Process(instance).Kill();
    fleet.StartInstance(instance);
    REQUIRE(fleet.WaitReady(instance));
    std::this_thread::sleep_for(Milliseconds(100));
  }
  watch.Stop();
  REQUIRE(watch.FirstFault() == "");
  for (const std::string& instance : fleet.InstanceNames()) {
    REQUIRE(fleet.ContractVersion(instance) == 5);
  }
}

TEST_CASE("operators who race leave one contract in force everywhere") {
  TestFleet fleet(MakeSettings("contract-race"));
  fleet.Start();
  std::string other = fleet.ContractText(2);
  other.replace(other.find("deadline_ms = 1000"), 18, "deadline_ms = 2000");

  // Each side sees one text of version 2 first
  fleet.CutPlatform("west");
  fleet.Publish("contracts/acme", other);
  (void)fleet.ContractVersion("east-1");
  std::this_thread::sleep_for(Milliseconds(300));
  fleet.CutPlatform("east");
  fleet.PublishContract(2);
  std::this_thread::sleep_for(Milliseconds(300));
  fleet.Proxy().Heal();

  const TimePoint end = SteadyClock().Now() + kInForceBound;
  bool is_agreed = false;
  while (!is_agreed && SteadyClock().Now() < end) {
    is_agreed = true;
    const std::uint64_t first = fleet.ContractDeadlineMs("east-1");
    for (const std::string& instance : fleet.InstanceNames()) {
      is_agreed = is_agreed && fleet.ContractVersion(instance) == 2 &&
                  fleet.ContractDeadlineMs(instance) == first;
    }
    std::this_thread::sleep_for(Milliseconds(20));
  }
  REQUIRE(is_agreed);
}

}  // namespace
}  // namespace jackdawrack
