#include <catch2/catch.hpp>

#include "policy/run_guard.h"

namespace jackdawrack {
namespace {

constexpr KeySlot kSlot = 7;
constexpr UnixMs kNow = 1'700'000'000'000;
const std::vector<InstanceId> kInstanceList = {InstanceId("a"), InstanceId("b"),
                                               InstanceId("c")};

LeaseVotes MakeVotes(std::uint64_t round, std::uint32_t no_other_holder_ms) {
  LeaseVotes votes;
  votes.m_round = round;
  votes.m_grants.push_back(LeaseGrant{kSlot, no_other_holder_ms});
  return votes;
}

RunKey KeyWithTimestamp(UnixMs timestamp) {
  RunKey key;
  key.m_slot = kSlot;
  key.m_text = "customer/key";
  key.m_timestamp = timestamp;
  return key;
}

// A holder with the votes of two of three witnesses. One of the two was started
// recently and reports only 10 ms without a promise to another holder, so the
// floor is higher than it is once the third witness has voted.
class PartialVoteHolder final {
 public:
  PartialVoteHolder()
      : m_leases(m_timing), m_guard(m_timing, RunGuardSettings()) {
    m_leases.SetInstanceList(kInstanceList, m_clock.Now());
    m_round = m_leases.StartRound({kSlot}, m_clock.Now(), kNow);
    Vote("a", 10);
    Vote("b", 60'000);
  }

  void Vote(const char* witness, std::uint32_t no_other_holder_ms) {
    m_leases.OnVotes(InstanceId(witness),
                     MakeVotes(m_round, no_other_holder_ms), m_clock.Now(),
                     kNow);
  }

  RunVerdict Admit(UnixMs timestamp) {
    return m_guard.Admit(KeyWithTimestamp(timestamp), 1,
                         m_leases.FindLease(kSlot, m_clock.Now(), kNow),
                         m_clock.Now(), kNow);
  }

  ManualClock m_clock;

 private:
  const LeaseTiming m_timing;
  LeaseHolder m_leases;
  RunGuard m_guard;
  std::uint64_t m_round = 0;
};

TEST_CASE("a key is not called too old before all witnesses have voted") {
  PartialVoteHolder holder;
  REQUIRE(holder.Admit(kNow - 200) == RunVerdict::kNoLease);

  // With the last vote a quorum reports 60 s without a promise to another
  // holder
  holder.Vote("c", 60'000);
  REQUIRE(holder.Admit(kNow - 200) == RunVerdict::kRun);
}

TEST_CASE(
    "a key is too old once the time to wait for the last vote has passed") {
  PartialVoteHolder holder;
  holder.m_clock.Advance(LeaseHolder::kVoteTimeout);
  REQUIRE(holder.Admit(kNow - 200) == RunVerdict::kTooOld);
}

TEST_CASE("a key older than the retention time is too old whatever the votes") {
  PartialVoteHolder holder;
  REQUIRE(holder.Admit(kNow - RunGuardSettings().m_retention.count()) ==
          RunVerdict::kTooOld);
}

}  // namespace
}  // namespace jackdawrack
