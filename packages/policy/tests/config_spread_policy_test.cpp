#include <catch2/catch.hpp>

#include "policy/config_exchange.h"
#include "simulated_fleet.h"

namespace jackdawrack {
namespace {

constexpr unsigned kSeed = 20261204;
constexpr std::size_t kDomains = 3;
constexpr std::size_t kPerDomain = 20;

/// Target: a change is in force on every instance within 5 s.
constexpr Milliseconds kPropagationTarget{5000};
constexpr Milliseconds kMaxJoinTime{6000};

InstanceId Id(std::size_t domain, std::size_t number) {
  return InstanceId(fmt::format("d{}-{}", domain, number));
}

void WaitUntilJoined(SimulatedFleet& fleet) {
  CAPTURE(kSeed);
  REQUIRE(fleet.RunUntil(kMaxJoinTime, [&] { return fleet.AllJoined(); }) <=
          kMaxJoinTime);
  fleet.Run(Milliseconds(2000));
}

void RequirePropagated(SimulatedFleet& fleet, std::uint64_t version) {
  CAPTURE(kSeed, version);
  REQUIRE(fleet.RunUntil(kPropagationTarget, [&] {
    return fleet.AllHaveContractVersion(version);
  }) <= kPropagationTarget);
}

std::size_t CountWatchers(const SimulatedFleet& fleet) {
  std::size_t watchers = 0;
  for (const InstanceId& id : fleet.Running()) {
    watchers += fleet.PolicyAt(id).IsWatcher() ? 1 : 0;
  }
  return watchers;
}

TEST_CASE("a change reaches every instance within the target time") {
  SimulatedFleet fleet(kDomains, kPerDomain, kSeed);
  WaitUntilJoined(fleet);
  REQUIRE(CountWatchers(fleet) == kDomains * 3);
  fleet.PublishContract(2, 200);
  RequirePropagated(fleet, 2);
}

TEST_CASE(
    "push trees alone reach every instance at any position of the watchers") {
  // Covers the delay of the last watcher's push and a few hops of 8 ms each
  constexpr Milliseconds kMaxPushTime{500};
  // The domain size changes the positions of the watchers in the tree
  for (std::size_t size = 20; size < 60; size += 8) {
    CAPTURE(kSeed, size);
    SimulatedFleet fleet(kDomains, size, kSeed);
    WaitUntilJoined(fleet);
    for (std::uint64_t version = 2; version < 5; ++version) {
      fleet.PublishContract(version, 200);
      const auto done = [&] { return fleet.AllHaveContractVersion(version); };
      REQUIRE(fleet.RunUntil(kPropagationTarget, done) <= kMaxPushTime);
      fleet.Run(Milliseconds(1000));
    }
  }
}

TEST_CASE("a change spreads over lossy links") {
  SimulatedFleet fleet(kDomains, kPerDomain, kSeed);
  WaitUntilJoined(fleet);
  fleet.SetLossRate(0.1);
  fleet.PublishContract(2, 200);
  RequirePropagated(fleet, 2);
}

TEST_CASE("a change spreads after one domain and a third of the others fail") {
  SimulatedFleet fleet(kDomains, kPerDomain, kSeed);
  WaitUntilJoined(fleet);
  for (std::size_t i = 0; i < kDomains * kPerDomain; i += 3) {
    fleet.Kill(Id(i % kDomains, i / kDomains));
  }
  for (std::size_t i = 0; i < kPerDomain; i += 3) {
    fleet.Kill(Id(1, i));
    fleet.Kill(Id(2, i));
  }
  fleet.PublishContract(2, 200);
  RequirePropagated(fleet, 2);
}

TEST_CASE("a change spreads although the config service fails after one read") {
  SimulatedFleet fleet(kDomains, kPerDomain, kSeed);
  WaitUntilJoined(fleet);
  fleet.SetConfigServiceCutOff(FailureDomain("d1"), true);
  fleet.SetConfigServiceCutOff(FailureDomain("d2"), true);
  fleet.PublishContract(2, 200);
  fleet.RunUntil(kPropagationTarget, [&] {
    for (const InstanceId& id : fleet.Running()) {
      if (fleet.ContractVersionAt(id) == 2) {
        return true;
      }
    }
    return false;
  });
  fleet.SetConfigServiceUp(false);
  RequirePropagated(fleet, 2);
}

TEST_CASE("a domain cut off from the config service gets changes from others") {
  SimulatedFleet fleet(kDomains, kPerDomain, kSeed);
  WaitUntilJoined(fleet);
  fleet.SetConfigServiceCutOff(FailureDomain("d2"), true);
  for (std::uint64_t version = 2; version < 6; ++version) {
    fleet.PublishContract(version, 200);
    RequirePropagated(fleet, version);
  }
}

TEST_CASE("a partitioned domain receives missed changes after the partition") {
  SimulatedFleet fleet(kDomains, kPerDomain, kSeed);
  WaitUntilJoined(fleet);
  const FailureDomain domain("d2");
  fleet.SetDomainPartitioned(domain, true);
  fleet.SetConfigServiceCutOff(domain, true);
  fleet.PublishContract(2, 200);
  fleet.Run(Milliseconds(60'000));
  REQUIRE(fleet.ContractVersionAt(Id(2, 3)) == 1);
  REQUIRE(fleet.ContractVersionAt(Id(0, 3)) == 2);
  // Instances of the partitioned domain stay live for each other
  REQUIRE(fleet.SeesLive(Id(2, 3), Id(2, 4)));
  fleet.SetDomainPartitioned(domain, false);
  RequirePropagated(fleet, 2);
}

TEST_CASE(
    "an instance joins through its peers while the config service is down") {
  SimulatedFleet fleet(kDomains, kPerDomain, kSeed);
  WaitUntilJoined(fleet);
  fleet.PublishContract(2, 200);
  RequirePropagated(fleet, 2);
  fleet.SetConfigServiceUp(false);
  fleet.Kill(Id(1, 3));
  fleet.Run(Milliseconds(20'000));
  fleet.Start(Id(1, 3));
  REQUIRE_FALSE(fleet.PolicyAt(Id(1, 3)).IsJoined());
  const auto joined = [&] { return fleet.PolicyAt(Id(1, 3)).IsJoined(); };
  CAPTURE(kSeed);
  REQUIRE(fleet.RunUntil(kMaxJoinTime, joined) <= kMaxJoinTime);
  REQUIRE(fleet.ContractVersionAt(Id(1, 3)) == 2);
}

TEST_CASE("two texts of one version converge to one text on every instance") {
  SimulatedFleet fleet(kDomains, kPerDomain, kSeed);
  WaitUntilJoined(fleet);
  fleet.SetConfigServiceCutOff(FailureDomain("d2"), true);
  fleet.PublishContract(2, 200);
  fleet.Run(Milliseconds(20));
  fleet.PublishContract(2, 300);
  const auto converged = [&] {
    for (const InstanceId& id : fleet.Running()) {
      if (fleet.PolicyAt(id).Store().RootHash() !=
          fleet.PolicyAt(Id(0, 0)).Store().RootHash()) {
        return false;
      }
    }
    return fleet.AllHaveContractVersion(2);
  };
  CAPTURE(kSeed);
  REQUIRE(fleet.RunUntil(kPropagationTarget, converged) <= kPropagationTarget);
}

TEST_CASE(
    "a rollback of the config service neither reverts nor blocks changes") {
  SimulatedFleet fleet(kDomains, kPerDomain, kSeed);
  WaitUntilJoined(fleet);
  const auto backup = fleet.Values();
  for (std::uint64_t version = 2; version < 30; ++version) {
    fleet.PublishContract(version, 200);
  }
  RequirePropagated(fleet, 29);
  fleet.RestoreConfigService(backup, 2);
  fleet.PublishContract(30, 300);
  RequirePropagated(fleet, 30);

  // Roll back again without publishing anything newer
  fleet.RestoreConfigService(backup, 2);
  fleet.Run(Milliseconds(15'000));
  REQUIRE(fleet.AllHaveContractVersion(30));
  fleet.PublishContract(31, 300);
  RequirePropagated(fleet, 31);
}

TEST_CASE("an instance list published after a restore comes into force") {
  SimulatedFleet fleet(kDomains, kPerDomain, kSeed);
  WaitUntilJoined(fleet);
  const auto backup = fleet.Values();
  const std::string list = backup.at("instances").m_text;
  fleet.PublishContract(2, 200);
  fleet.Publish("instances", list + "# later\n");
  RequirePropagated(fleet, 2);
  fleet.RestoreConfigService(backup, 1);
  fleet.Publish("instances", list + "# after the restore\n");
  const auto in_use = [&] {
    for (const InstanceId& id : fleet.Running()) {
      if (fleet.PolicyAt(id).Store().Find("instances")->m_text !=
          list + "# after the restore\n") {
        return false;
      }
    }
    return true;
  };
  // 10 s until an older list is accepted, plus the time to spread it
  CAPTURE(kSeed);
  REQUIRE(fleet.RunUntil(Milliseconds(20'000), in_use) <= Milliseconds(20'000));
  REQUIRE(fleet.AllHaveContractVersion(2));
}

TEST_CASE("a batch above the size limit holds a single value") {
  std::vector<PublishedValue> values;
  for (const std::size_t size : {10, 600'000, 600'000, 2'000'000, 10}) {
    values.push_back({"map/a", 1, std::string(size, 'x'), 0});
  }
  std::vector<PublishedValue> joined;
  for (const auto& batch : SplitIntoBatches(values)) {
    std::size_t bytes = 0;
    for (const PublishedValue& value : batch) {
      bytes += value.m_text.size();
      joined.push_back(value);
    }
    REQUIRE((batch.size() == 1 || bytes <= kMaxMessageValueBytes));
  }
  REQUIRE(joined == values);
}

TEST_CASE("config service calls grow more slowly than the fleet") {
  std::vector<std::uint64_t> calls;
  for (const std::size_t per_domain : {3, 12, 48}) {
    SimulatedFleet fleet(kDomains, per_domain, kSeed);
    WaitUntilJoined(fleet);
    const std::uint64_t before = fleet.ConfigServiceReads();
    fleet.Run(Milliseconds(30'000));
    calls.push_back(fleet.ConfigServiceReads() - before);
  }
  CAPTURE(kSeed, calls);
  REQUIRE(calls[1] <= calls[0] * 2);
  REQUIRE(calls[2] <= calls[0] * 2);
}

}  // namespace
}  // namespace jackdawrack
