#include "policy/share_ledger.h"

#include <catch2/catch.hpp>
#include <random>

#include "policy/admission_gate.h"
#include "policy/base_share.h"

namespace jackdawrack {
namespace {

constexpr std::uint32_t kSeed = 4711;
constexpr std::size_t kInstances = 9;
constexpr std::uint32_t kRatePerSecond = 900;
constexpr Milliseconds kStep{1};
constexpr Milliseconds kExchangeInterval{100};
constexpr Milliseconds kListLag{5000};

Contract MakeContract() {
  std::vector<IniProblem> problems;
  Contract contract = Contract::Parse(
      "c",
      "[contract]\ncustomer=a\nversion=1\n[limits]\ndeadline_ms=100\n"
      "rate_per_second=900\nconcurrency=900\n"
      "[kind k]\ncollection=c\nidempotent=yes\n",
      problems);
  REQUIRE(problems.empty());
  return contract;
}

InstanceId MakeInstanceId(std::size_t i) {
  return InstanceId("i-" + std::to_string(i));
}

// Instances that lend contract shares to each other over links that lose a
// fraction `loss` of the messages.
class LendingFleet {
 public:
  explicit LendingFleet(double loss) : m_loss(loss), m_members(kInstances) {}

  // Sends `per_second[i]` requests to each instance i for one second. Returns
  // the number of admitted requests.
  std::uint32_t RunSecond(const std::vector<double>& per_second) {
    std::uint32_t admitted = 0;
    std::vector<double> due(kInstances, 0);
    for (int step = 0; step < 1000; ++step) {
      m_clock.Advance(kStep);
      for (std::size_t i = 0; i < kInstances; ++i) {
        due[i] += per_second[i] / 1000;
        for (; due[i] >= 1; due[i] -= 1) {
          admitted += SendRequest(i) ? 1 : 0;
        }
      }
      if (step % kExchangeInterval.count() == 0) {
        ExchangeLoans();
      }
    }
    return admitted;
  }

  [[nodiscard]] double SumOfFractions() const {
    double sum = 0;
    for (const Member& member : m_members) {
      sum += member.m_ledger.UsableFraction(1.0 / kInstances, m_clock.Now());
    }
    return sum;
  }

 private:
  struct Member {
    ShareLedger m_ledger{LoanSettings()};
    AdmissionGate m_gate;
  };

  bool SendRequest(std::size_t i) {
    Member& member = m_members[i];
    const double fraction =
        member.m_ledger.UsableFraction(1.0 / kInstances, m_clock.Now());
    if (member.m_gate.Admit(m_contract, fraction, m_clock.Now()) !=
        AdmissionVerdict::kAdmitted) {
      return false;
    }
    member.m_gate.Release();
    return true;
  }

  void ExchangeLoans() {
    const TimePoint now = m_clock.Now();
    for (std::size_t borrower = 0; borrower < kInstances; ++borrower) {
      const double demand =
          m_members[borrower].m_gate.DemandFraction(m_contract, now);
      const double needed = demand - 1.0 / kInstances;
      for (std::size_t lender = 0; lender < kInstances && needed > 0;
           ++lender) {
        if (lender == borrower || IsMessageLost()) {
          continue;
        }
        const double granted = m_members[lender].m_ledger.Lend(
            MakeInstanceId(borrower), needed, 1.0 / kInstances,
            m_members[lender].m_gate.UsedFraction(m_contract, now), now);
        if (!IsMessageLost()) {
          m_members[borrower].m_ledger.RecordBorrowed(MakeInstanceId(lender),
                                                      granted, now);
        }
      }
    }
    REQUIRE(SumOfFractions() <= 1.0 + 1e-9);
  }

  bool IsMessageLost() {
    return std::uniform_real_distribution<>(0, 1)(m_random) < m_loss;
  }

  const double m_loss;
  std::mt19937 m_random{kSeed};
  ManualClock m_clock;
  const Contract m_contract = MakeContract();
  std::vector<Member> m_members;
};

TEST_CASE("load on a single instance can use nine tenths of a contract") {
  INFO("seed " << kSeed);
  LendingFleet fleet(0.05);
  std::vector<double> offered(kInstances, 0);
  offered[0] = 2 * kRatePerSecond;
  fleet.RunSecond(offered);
  fleet.RunSecond(offered);
  const std::uint32_t admitted = fleet.RunSecond(offered);
  REQUIRE(admitted >= 0.9 * kRatePerSecond);
  REQUIRE(admitted <= 1.05 * kRatePerSecond);
}

TEST_CASE("a contract is not exceeded while load moves and messages are lost") {
  INFO("seed " << kSeed);
  LendingFleet fleet(0.3);
  for (std::size_t second = 0; second < 20; ++second) {
    std::vector<double> offered(kInstances, 50);
    offered[second % kInstances] = 3 * kRatePerSecond;
    const std::uint32_t admitted = fleet.RunSecond(offered);
    REQUIRE(admitted <= 1.05 * kRatePerSecond);
  }
}

TEST_CASE("two requests in close succession are admitted under a small share") {
  ManualClock clock;
  const Contract contract = MakeContract();
  AdmissionGate gate;
  constexpr double kEighthOf300PerSecond = 37.5 / kRatePerSecond;
  REQUIRE(gate.Admit(contract, kEighthOf300PerSecond, clock.Now()) ==
          AdmissionVerdict::kAdmitted);
  clock.Advance(Milliseconds(6));
  REQUIRE(gate.Admit(contract, kEighthOf300PerSecond, clock.Now()) ==
          AdmissionVerdict::kAdmitted);
}

TEST_CASE("a lender regains its share after loans expire") {
  ManualClock clock;
  ShareLedger lender{LoanSettings()};
  REQUIRE(lender.Lend(MakeInstanceId(1), 1.0, 0.1, 0, clock.Now()) > 0.09);
  REQUIRE(lender.UsableFraction(0.1, clock.Now()) < 0.01);
  clock.Advance(Milliseconds(2300));
  REQUIRE(lender.UsableFraction(0.1, clock.Now()) == Approx(0.1));
}

TEST_CASE("a new instance uses its share only after peers confirm it") {
  ManualClock clock;
  BaseShare share(kListLag);
  share.SetInstanceList(kInstances, true, clock.Now());
  REQUIRE(share.UsableFraction(clock.Now()) == 0);
  for (std::size_t peer = 1; peer <= 3; ++peer) {
    share.RecordConfirmation(MakeInstanceId(peer));
  }
  REQUIRE(share.UsableFraction(clock.Now()) == Approx(1.0 / kInstances));
}

TEST_CASE("a shorter list raises the share only after the list lag") {
  ManualClock clock;
  BaseShare share(kListLag);
  share.SetInstanceList(3, true, clock.Now());
  clock.Advance(kListLag);
  share.SetInstanceList(2, true, clock.Now());
  REQUIRE(share.UsableFraction(clock.Now()) == Approx(1.0 / 3));
  clock.Advance(kListLag + Milliseconds(1));
  REQUIRE(share.UsableFraction(clock.Now()) == Approx(1.0 / 2));
}

}  // namespace
}  // namespace jackdawrack
