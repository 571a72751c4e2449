#include <catch2/catch.hpp>

#include "simulated_fleet.h"

namespace jackdawrack {
namespace {

constexpr unsigned kSeed = 20261205;
constexpr Milliseconds kMaxJoinTime{6000};
/// Target: a leaving instance gets no new work after a few seconds; its
/// announcement reaches every instance within 2 s.
constexpr Milliseconds kLeavePropagationTarget{2000};
constexpr Milliseconds kMaxDetectionTime{15'000};

InstanceId Id(std::size_t domain, std::size_t number) {
  return InstanceId(fmt::format("d{}-{}", domain, number));
}

void WaitUntilJoined(SimulatedFleet& fleet) {
  CAPTURE(kSeed);
  REQUIRE(fleet.RunUntil(kMaxJoinTime, [&] { return fleet.AllJoined(); }) <=
          kMaxJoinTime);
  fleet.Run(Milliseconds(2000));
}

TEST_CASE("a leaving instance is not live on any instance in the target time") {
  SimulatedFleet fleet(3, 20, kSeed);
  WaitUntilJoined(fleet);
  fleet.MutablePolicyAt(Id(1, 7)).Leave(fleet.Now());
  const auto gone = [&] { return fleet.AllSeeLive(Id(1, 7), false); };
  CAPTURE(kSeed);
  REQUIRE(fleet.RunUntil(kLeavePropagationTarget, gone) <=
          kLeavePropagationTarget);
}

TEST_CASE(
    "a leave announcement spreads in time in domains of the target size") {
  SimulatedFleet fleet(2, 190, kSeed);
  WaitUntilJoined(fleet);
  fleet.MutablePolicyAt(Id(1, 7)).Leave(fleet.Now());
  const auto gone = [&] { return fleet.AllSeeLive(Id(1, 7), false); };
  CAPTURE(kSeed);
  REQUIRE(fleet.RunUntil(kLeavePropagationTarget, gone) <=
          kLeavePropagationTarget);
}

TEST_CASE("a domain ignores failure reports between two other domains") {
  SimulatedFleet fleet(3, 6, kSeed);
  WaitUntilJoined(fleet);
  fleet.PartitionDomainPair(FailureDomain("d0"), FailureDomain("d2"));
  CAPTURE(kSeed);
  for (int i = 0; i < 300; ++i) {
    fleet.Run(Milliseconds(100));
    for (std::size_t number = 0; number < 6; ++number) {
      const MemberStatus seen =
          fleet.PolicyAt(Id(1, 0)).Members().StatusOf(Id(2, number));
      REQUIRE(seen.m_state == MemberState::kAlive);
    }
  }
}

TEST_CASE("the last instance of a domain stays live while it is leaving") {
  SimulatedFleet fleet(2, 2, kSeed);
  WaitUntilJoined(fleet);
  fleet.MutablePolicyAt(Id(1, 0)).Leave(fleet.Now());
  fleet.Run(kLeavePropagationTarget);
  REQUIRE(fleet.AllSeeLive(Id(1, 0), false));
  fleet.MutablePolicyAt(Id(1, 1)).Leave(fleet.Now());
  fleet.Run(kLeavePropagationTarget);
  REQUIRE(fleet.AllSeeLive(Id(1, 1), true));
}

TEST_CASE("the failure and the restart of an instance are detected") {
  for (unsigned seed = kSeed; seed < kSeed + 12; ++seed) {
    CAPTURE(seed);
    SimulatedFleet fleet(3, 20, seed);
    WaitUntilJoined(fleet);
    fleet.Kill(Id(1, 7));
    const auto gone = [&] { return fleet.AllSeeLive(Id(1, 7), false); };
    REQUIRE(fleet.RunUntil(kMaxDetectionTime, gone) <= kMaxDetectionTime);
    fleet.Start(Id(1, 7));
    const auto back = [&] { return fleet.AllSeeLive(Id(1, 7), true); };
    REQUIRE(fleet.RunUntil(kMaxDetectionTime, back) <= kMaxDetectionTime);
  }
}

TEST_CASE("an instance that left becomes live again after a restart") {
  SimulatedFleet fleet(3, 6, kSeed);
  WaitUntilJoined(fleet);
  fleet.MutablePolicyAt(Id(0, 2)).Leave(fleet.Now());
  fleet.Run(Milliseconds(3000));
  fleet.Kill(Id(0, 2));
  fleet.Run(Milliseconds(3000));
  fleet.Start(Id(0, 2));
  CAPTURE(kSeed);
  REQUIRE(fleet.RunUntil(kMaxDetectionTime, [&] {
    return fleet.AllSeeLive(Id(0, 2), true);
  }) <= kMaxDetectionTime);
  // The next announcement takes effect although the incarnation restarted at 0
  fleet.MutablePolicyAt(Id(0, 2)).Leave(fleet.Now());
  REQUIRE(fleet.RunUntil(kLeavePropagationTarget, [&] {
    return fleet.AllSeeLive(Id(0, 2), false);
  }) <= kLeavePropagationTarget);
}

TEST_CASE("instances marked unreachable by packet loss become live again") {
  SimulatedFleet fleet(3, 20, kSeed);
  WaitUntilJoined(fleet);
  fleet.SetLossRate(0.05);
  fleet.Run(Milliseconds(30'000));
  fleet.SetLossRate(0);
  const auto all_live = [&] {
    for (const InstanceId& id : fleet.Running()) {
      if (!fleet.AllSeeLive(id, true)) {
        return false;
      }
    }
    return true;
  };
  CAPTURE(kSeed);
  REQUIRE(fleet.RunUntil(kMaxDetectionTime, all_live) <= kMaxDetectionTime);
}

TEST_CASE(
    "a partitioned domain keeps its instances live and recovers the others") {
  SimulatedFleet fleet(3, 6, kSeed);
  WaitUntilJoined(fleet);
  fleet.SetDomainPartitioned(FailureDomain("d2"), true);
  fleet.Run(Milliseconds(30'000));
  for (std::size_t i = 0; i < 6; ++i) {
    REQUIRE(fleet.SeesLive(Id(2, 0), Id(2, i)));
    // The partition does not affect how the other domains see each other
    REQUIRE(fleet.SeesLive(Id(0, 0), Id(1, i)));
  }
  fleet.SetDomainPartitioned(FailureDomain("d2"), false);
  const auto all_live = [&] {
    for (const InstanceId& id : fleet.Running()) {
      if (!fleet.AllSeeLive(id, true)) {
        return false;
      }
    }
    return true;
  };
  CAPTURE(kSeed);
  REQUIRE(fleet.RunUntil(Milliseconds(30'000), all_live) <=
          Milliseconds(30'000));
}

TEST_CASE(
    "a resumed process reports its config as outdated until it reads again") {
  SimulatedFleet fleet(3, 6, kSeed);
  WaitUntilJoined(fleet);
  const InstanceId id = Id(1, 2);
  // Pause the process while calls are in flight
  fleet.SetLossRate(1);
  fleet.Run(Milliseconds(900));
  fleet.SetPaused(id, true);
  fleet.SetLossRate(0);
  fleet.Run(Milliseconds(30'000));
  fleet.PublishContract(2, 200);
  fleet.Run(Milliseconds(5000));
  const TimePoint resumed_at = fleet.Now();
  fleet.SetPaused(id, false);
  fleet.Run(Milliseconds(10));
  // The age of the old contract includes the pause
  if (fleet.ContractVersionAt(id) == 1) {
    REQUIRE(*fleet.PolicyAt(id).ConfigConfirmedAt() <
            resumed_at - Milliseconds(5000));
  }
  // Calls that timed out during the pause do not make peers suspect
  for (std::size_t number = 0; number < 6; ++number) {
    const MemberStatus seen =
        fleet.PolicyAt(id).Members().StatusOf(Id(1, number));
    REQUIRE(seen.m_state == MemberState::kAlive);
  }
  CAPTURE(kSeed);
  REQUIRE(fleet.RunUntil(Milliseconds(5000), [&] {
    return fleet.ContractVersionAt(id) == 2 &&
           *fleet.PolicyAt(id).ConfigConfirmedAt() > resumed_at;
  }) <= Milliseconds(5000));
  REQUIRE(fleet.SeesLive(id, Id(1, 3)));
}

}  // namespace
}  // namespace jackdawrack
