#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

#include "testing/test_fleet.h"

namespace jackdawrack {
namespace {

/// Stated target: a change is in force everywhere within 5 s.
constexpr Milliseconds kInForce{5000};
constexpr Milliseconds kPoll{5};

TestFleetSettings ThreeDomains(const std::string& name) {
  TestFleetSettings settings;
  settings.m_name = name;
  settings.m_instances_per_domain = 3;
  return settings;
}

std::uint64_t ContractVersion(TestFleet& fleet, const std::string& instance) {
  const HttpReply reply = fleet.Operator(instance, "/v1/contracts");
  const auto object = ParseJsonObject(reply.m_body);
  if (!object || object->at("contracts").as_array().empty()) {
    return 0;
  }
  return JsonNumber(object->at("contracts").as_array().front().as_object(),
                    "version");
}

std::size_t CountWith(TestFleet& fleet, std::uint64_t version) {
  std::size_t count = 0;
  for (const std::string& instance : fleet.InstanceNames()) {
    count += ContractVersion(fleet, instance) == version ? 1 : 0;
  }
  return count;
}

bool WaitForCount(TestFleet& fleet,
                  std::uint64_t version,
                  std::size_t count,
                  Milliseconds limit = kInForce) {
  const TimePoint give_up = SteadyClock().Now() + limit;
  while (SteadyClock().Now() < give_up) {
    if (CountWith(fleet, version) >= count) {
      return true;
    }
    std::this_thread::sleep_for(kPoll);
  }
  return false;
}

std::string MemberState(TestFleet& fleet,
                        const std::string& viewer,
                        const std::string& instance) {
  const auto status =
      ParseJsonObject(fleet.Operator(viewer, "/v1/status").m_body);
  if (!status) {
    return {};
  }
  for (const auto& member : status->at("membership").as_array()) {
    if (JsonText(member.as_object(), "id") == instance) {
      return JsonText(member.as_object(), "state");
    }
  }
  return {};
}

bool IsWatcher(TestFleet& fleet, const std::string& instance) {
  const auto status =
      ParseJsonObject(fleet.Operator(instance, "/v1/status").m_body);
  return status && status->at("config").at("watcher").as_bool();
}

TEST_CASE("a change outlives the kill of the platform after its first reader") {
  TestFleetSettings settings = ThreeDomains("spread-kill");
  settings.m_instances_per_domain = 6;
  TestFleet fleet(settings);
  fleet.Start();

  // Wait until only the chosen instances watch
  const TimePoint settled_by = SteadyClock().Now() + 2 * kInForce;
  std::size_t watchers = 0;
  while (watchers != 3 * settings.m_domains.size()) {
    REQUIRE(SteadyClock().Now() < settled_by);
    watchers = 0;
    for (const std::string& instance : fleet.InstanceNames()) {
      watchers += IsWatcher(fleet, instance) ? 1 : 0;
    }
    std::this_thread::sleep_for(Milliseconds(50));
  }
  fleet.PublishContract(2);
  REQUIRE(WaitForCount(fleet, 2, 1));
  fleet.Platform().Kill();
  REQUIRE(WaitForCount(fleet, 2, fleet.InstanceNames().size()));
}

TEST_CASE("a restart of every instance never shows an older contract") {
  TestFleet fleet(ThreeDomains("spread-restart"));
  fleet.Start();
  fleet.PublishContract(5);
  REQUIRE(WaitForCount(fleet, 5, fleet.InstanceNames().size()));

  // The platform comes back with version 1 while every instance is replaced
  fleet.Platform().Kill();
  fleet.StartPlatform();
  for (const std::string& instance : fleet.InstanceNames()) {
    fleet.Process(instance).Signal(SIGTERM);
    REQUIRE(fleet.Process(instance).WaitExit(10'000) == 0);
    fleet.StartInstance(instance);
    REQUIRE(fleet.WaitReady(instance));
    for (const std::string& seen : fleet.InstanceNames()) {
      INFO(instance << " restarted, seen at " << seen);
      REQUIRE(ContractVersion(fleet, seen) == 5);
    }
  }
}

TEST_CASE(
    "an instance restarted while the platform is down joins by its peers") {
  TestFleet fleet(ThreeDomains("spread-join"));
  fleet.Start();
  fleet.PublishContract(5);
  REQUIRE(WaitForCount(fleet, 5, fleet.InstanceNames().size()));
  fleet.Platform().Kill();
  fleet.Process("south-2").Kill();
  fleet.StartInstance("south-2");
  REQUIRE(fleet.WaitReady("south-2"));
  REQUIRE(ContractVersion(fleet, "south-2") == 5);
}

TEST_CASE("a platform with an older state reverts nothing and stalls nothing") {
  TestFleet fleet(ThreeDomains("spread-back"));
  fleet.Start();
  const std::size_t all = fleet.InstanceNames().size();
  for (std::uint64_t version = 2; version <= 20; ++version) {
    fleet.PublishContract(version);
  }
  REQUIRE(WaitForCount(fleet, 20, all));
  fleet.Platform().Kill();
  fleet.StartPlatform();

  // Look for a revert over twice the time in which changes come into force
  const TimePoint until = SteadyClock().Now() + 2 * kInForce;
  while (SteadyClock().Now() < until) {
    REQUIRE(CountWith(fleet, 20) == all);
    std::this_thread::sleep_for(Milliseconds(100));
  }
  fleet.PublishContract(21);
  REQUIRE(WaitForCount(fleet, 21, all));
}

TEST_CASE("an instance that was paused is current soon after it wakes") {
  TestFleet fleet(ThreeDomains("spread-pause"));
  fleet.Start();
  fleet.Process("west-2").Signal(SIGSTOP);
  fleet.PublishContract(2);
  std::this_thread::sleep_for(Milliseconds(6000));
  fleet.Process("west-2").Signal(SIGCONT);
  REQUIRE(WaitForCount(fleet, 2, fleet.InstanceNames().size()));

  // Its peers count it as live again, and it them
  const TimePoint back_by = SteadyClock().Now() + 2 * kInForce;
  for (const std::string other : {"west-1", "west-3"}) {
    INFO("between west-2 and " << other);
    while (MemberState(fleet, other, "west-2") != "alive" ||
           MemberState(fleet, "west-2", other) != "alive") {
      REQUIRE(SteadyClock().Now() < back_by);
      std::this_thread::sleep_for(kPoll);
    }
  }
}

TEST_CASE("a leaver is told to every instance before it stops") {
  TestFleetSettings settings = ThreeDomains("spread-leave");
  settings.m_balancer_lag_ms = 4000;
  TestFleet fleet(settings);
  fleet.Start();
  fleet.Process("south-2").Signal(SIGTERM);
  const TimePoint told_by = SteadyClock().Now() + Milliseconds(2000);
  for (const std::string& viewer : fleet.InstanceNames()) {
    INFO("seen at " << viewer);
    while (MemberState(fleet, viewer, "south-2") != "leaving") {
      REQUIRE(SteadyClock().Now() < told_by);
      std::this_thread::sleep_for(kPoll);
    }
  }
}

}  // namespace
}  // namespace jackdawrack
