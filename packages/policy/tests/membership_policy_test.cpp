#include <catch2/catch.hpp>

#include "simulated_fleet.h"

namespace jackdawrack {
namespace {

constexpr unsigned kSeed = 20261205;
constexpr Milliseconds kJoining{6000};
/// Target: a leaving instance gets no new work after a few seconds; its
/// announcement reaches every instance within 2 s.
constexpr Milliseconds kLeaveSpread{2000};
constexpr Milliseconds kDetection{15'000};

InstanceId Id(std::size_t domain, std::size_t number) {
  return InstanceId(fmt::format("d{}-{}", domain, number));
}

void Join(SimulatedFleet& fleet) {
  CAPTURE(kSeed);
  REQUIRE(fleet.RunUntil(kJoining, [&] { return fleet.AllJoined(); }) <=
          kJoining);
  fleet.Run(Milliseconds(2000));
}

TEST_CASE("a leaving instance is not live on any instance in the target time") {
  SimulatedFleet fleet(3, 20, kSeed);
  Join(fleet);
  fleet.Policy(Id(1, 7)).Leave(fleet.Now());
  const auto gone = [&] { return fleet.AllSee(Id(1, 7), false); };
  CAPTURE(kSeed);
  REQUIRE(fleet.RunUntil(kLeaveSpread, gone) <= kLeaveSpread);
}

TEST_CASE(
    "a leave announcement spreads in time in domains of the target size") {
  SimulatedFleet fleet(2, 190, kSeed);
  Join(fleet);
  fleet.Policy(Id(1, 7)).Leave(fleet.Now());
  const auto gone = [&] { return fleet.AllSee(Id(1, 7), false); };
  CAPTURE(kSeed);
  REQUIRE(fleet.RunUntil(kLeaveSpread, gone) <= kLeaveSpread);
}

TEST_CASE("a domain ignores failure reports between two other domains") {
  SimulatedFleet fleet(3, 6, kSeed);
  Join(fleet);
  fleet.CutPair(FailureDomain("d0"), FailureDomain("d2"));
  CAPTURE(kSeed);
  for (int i = 0; i < 300; ++i) {
    fleet.Run(Milliseconds(100));
    for (std::size_t number = 0; number < 6; ++number) {
      const MemberStatus seen =
          fleet.At(Id(1, 0)).Members().StatusOf(Id(2, number));
      REQUIRE(seen.m_state == MemberState::kAlive);
    }
  }
}

TEST_CASE("the last instance of a domain stays live while it is leaving") {
  SimulatedFleet fleet(2, 2, kSeed);
  Join(fleet);
  fleet.Policy(Id(1, 0)).Leave(fleet.Now());
  fleet.Run(kLeaveSpread);
  REQUIRE(fleet.AllSee(Id(1, 0), false));
  fleet.Policy(Id(1, 1)).Leave(fleet.Now());
  fleet.Run(kLeaveSpread);
  REQUIRE(fleet.AllSee(Id(1, 1), true));
}

TEST_CASE("the failure and the restart of an instance are detected") {
  for (unsigned seed = kSeed; seed < kSeed + 12; ++seed) {
    CAPTURE(seed);
    SimulatedFleet fleet(3, 20, seed);
    Join(fleet);
    fleet.Kill(Id(1, 7));
    const auto gone = [&] { return fleet.AllSee(Id(1, 7), false); };
    REQUIRE(fleet.RunUntil(kDetection, gone) <= kDetection);
    fleet.Start(Id(1, 7));
    const auto back = [&] { return fleet.AllSee(Id(1, 7), true); };
    REQUIRE(fleet.RunUntil(kDetection, back) <= kDetection);
  }
}

TEST_CASE("an instance that left becomes live again after a restart") {
  SimulatedFleet fleet(3, 6, kSeed);
  Join(fleet);
  fleet.Policy(Id(0, 2)).Leave(fleet.Now());
  fleet.Run(Milliseconds(3000));
  fleet.Kill(Id(0, 2));
  fleet.Run(Milliseconds(3000));
  fleet.Start(Id(0, 2));
  CAPTURE(kSeed);
  REQUIRE(fleet.RunUntil(kDetection, [&] {
    return fleet.AllSee(Id(0, 2), true);
  }) <= kDetection);
  // The next announcement takes effect although the incarnation restarted at 0
  fleet.Policy(Id(0, 2)).Leave(fleet.Now());
  REQUIRE(fleet.RunUntil(kLeaveSpread, [&] {
    return fleet.AllSee(Id(0, 2), false);
  }) <= kLeaveSpread);
}

TEST_CASE("instances marked unreachable by packet loss become live again") {
  SimulatedFleet fleet(3, 20, kSeed);
  Join(fleet);
  fleet.SetLoss(0.05);
  fleet.Run(Milliseconds(30'000));
  fleet.SetLoss(0);
  const auto all_live = [&] {
    for (const InstanceId& id : fleet.Running()) {
      if (!fleet.AllSee(id, true)) {
        return false;
      }
    }
    return true;
  };
  CAPTURE(kSeed);
  REQUIRE(fleet.RunUntil(kDetection, all_live) <= kDetection);
}

TEST_CASE(
    "a partitioned domain keeps its instances live and recovers the others") {
  SimulatedFleet fleet(3, 6, kSeed);
  Join(fleet);
  fleet.CutBetweenDomains(FailureDomain("d2"), true);
  fleet.Run(Milliseconds(30'000));
  for (std::size_t i = 0; i < 6; ++i) {
    REQUIRE(fleet.SeesLive(Id(2, 0), Id(2, i)));
    // The partition does not affect how the other domains see each other
    REQUIRE(fleet.SeesLive(Id(0, 0), Id(1, i)));
  }
  fleet.CutBetweenDomains(FailureDomain("d2"), false);
  const auto all_live = [&] {
    for (const InstanceId& id : fleet.Running()) {
      if (!fleet.AllSee(id, true)) {
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
  Join(fleet);
  const InstanceId id = Id(1, 2);
  // Pause the process while calls are in flight
  fleet.SetLoss(1);
  fleet.Run(Milliseconds(900));
  fleet.SetPaused(id, true);
  fleet.SetLoss(0);
  fleet.Run(Milliseconds(30'000));
  fleet.PublishContract(2, 200);
  fleet.Run(Milliseconds(5000));
  const TimePoint woken_at = fleet.Now();
  fleet.SetPaused(id, false);
  fleet.Run(Milliseconds(10));
  // The age of the old contract includes the pause
  if (fleet.VersionAt(id) == 1) {
    REQUIRE(*fleet.At(id).ConfigConfirmedAt() < woken_at - Milliseconds(5000));
  }
  // Calls that timed out during the pause do not make peers suspect
  for (std::size_t number = 0; number < 6; ++number) {
    const MemberStatus seen = fleet.At(id).Members().StatusOf(Id(1, number));
    REQUIRE(seen.m_state == MemberState::kAlive);
  }
  CAPTURE(kSeed);
  REQUIRE(fleet.RunUntil(Milliseconds(5000), [&] {
    return fleet.VersionAt(id) == 2 &&
           *fleet.At(id).ConfigConfirmedAt() > woken_at;
  }) <= Milliseconds(5000));
  REQUIRE(fleet.SeesLive(id, Id(1, 3)));
}

}  // namespace
}  // namespace jackdawrack
