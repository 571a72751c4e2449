#include <catch2/catch.hpp>

#include "simulated_fleet.h"

namespace jackdawrack {
namespace {

constexpr unsigned kSeed = 20261205;
constexpr Milliseconds kJoining{6000};
/// Stated target: a leaver gets no new work after a few seconds; its own word
/// spreads in under 2 s.
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

TEST_CASE("a leaver is live nowhere within the stated time") {
  SimulatedFleet fleet(3, 20, kSeed);
  Join(fleet);
  fleet.Policy(Id(1, 7)).Leave(fleet.Now());
  const auto gone = [&] { return fleet.AllSee(Id(1, 7), false); };
  CAPTURE(kSeed);
  REQUIRE(fleet.RunUntil(kLeaveSpread, gone) <= kLeaveSpread);
}

TEST_CASE("a leaver is told in time at the target size of a domain") {
  SimulatedFleet fleet(2, 190, kSeed);
  Join(fleet);
  fleet.Policy(Id(1, 7)).Leave(fleet.Now());
  const auto gone = [&] { return fleet.AllSee(Id(1, 7), false); };
  CAPTURE(kSeed);
  REQUIRE(fleet.RunUntil(kLeaveSpread, gone) <= kLeaveSpread);
}

TEST_CASE("a third domain goes by its own sight of two that are cut apart") {
  SimulatedFleet fleet(3, 6, kSeed);
  Join(fleet);
  fleet.CutPair(FailureDomain("d0"), FailureDomain("d2"));
  CAPTURE(kSeed);
  for (int i = 0; i < 300; ++i) {
    fleet.Run(Milliseconds(100));
    for (std::size_t number = 0; number < 6; ++number) {
      const MemberNotice seen =
          fleet.At(Id(1, 0)).Members().NoticeOf(Id(2, number));
      REQUIRE(seen.m_state == MemberState::kAlive);
    }
  }
}

TEST_CASE("the last instance of a domain owns until it has stopped") {
  SimulatedFleet fleet(2, 2, kSeed);
  Join(fleet);
  fleet.Policy(Id(1, 0)).Leave(fleet.Now());
  fleet.Run(kLeaveSpread);
  REQUIRE(fleet.AllSee(Id(1, 0), false));
  fleet.Policy(Id(1, 1)).Leave(fleet.Now());
  fleet.Run(kLeaveSpread);
  REQUIRE(fleet.AllSee(Id(1, 1), true));
}

TEST_CASE("a killed instance is noticed and its return too") {
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

TEST_CASE("an instance that left and was started again is live") {
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
  // Its next leaving counts although its incarnation began anew
  fleet.Policy(Id(0, 2)).Leave(fleet.Now());
  REQUIRE(fleet.RunUntil(kLeaveSpread, [&] {
    return fleet.AllSee(Id(0, 2), false);
  }) <= kLeaveSpread);
}

TEST_CASE("lossy links alone make no instance unreachable for long") {
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

TEST_CASE("a cut domain keeps its own instances and sees the others again") {
  SimulatedFleet fleet(3, 6, kSeed);
  Join(fleet);
  fleet.CutBetweenDomains(FailureDomain("d2"), true);
  fleet.Run(Milliseconds(30'000));
  for (std::size_t i = 0; i < 6; ++i) {
    REQUIRE(fleet.SeesLive(Id(2, 0), Id(2, i)));
    // A third domain does not take over what the cut one looks like elsewhere
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

TEST_CASE("a process that was paused claims no currency until it read again") {
  SimulatedFleet fleet(3, 6, kSeed);
  Join(fleet);
  const InstanceId id = Id(1, 2);
  // Calls are in flight when it stops
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
  // While it holds the old contract its age covers the pause
  if (fleet.VersionAt(id) == 1) {
    REQUIRE(*fleet.At(id).CurrentAt() < woken_at - Milliseconds(5000));
  }
  // It holds nothing against its peers that its own pause brought about
  for (std::size_t number = 0; number < 6; ++number) {
    const MemberNotice seen = fleet.At(id).Members().NoticeOf(Id(1, number));
    REQUIRE(seen.m_state == MemberState::kAlive);
  }
  CAPTURE(kSeed);
  REQUIRE(fleet.RunUntil(Milliseconds(5000), [&] {
    return fleet.VersionAt(id) == 2 && *fleet.At(id).CurrentAt() > woken_at;
  }) <= Milliseconds(5000));
  REQUIRE(fleet.SeesLive(id, Id(1, 3)));
}

}  // namespace
}  // namespace jackdawrack
