#include "routing/gather_progress.h"

#include <catch2/catch.hpp>

#include "routing/record_merge.h"

namespace jackdawrack {
namespace {

class GatherFixture final {
 public:
  explicit GatherFixture(double min_coverage)
      : m_progress(10,
                   min_coverage,
                   GatherDeadlines{m_clock.Now() + Milliseconds(180),
                                   m_clock.Now() + Milliseconds(2'500)}) {}

  void RecordAnswered(int parts) {
    for (int part = 0; part < parts; ++part) {
      m_progress.RecordAnswered();
    }
  }

  [[nodiscard]] GatherDecision Decide() const {
    return m_progress.Decide(m_clock.Now());
  }

  ManualClock m_clock;
  GatherProgress m_progress;
};

TEST_CASE("a query is answered once all parts are answered") {
  GatherFixture fixture(0.89);
  fixture.RecordAnswered(9);
  REQUIRE(fixture.Decide() == GatherDecision::kWait);
  fixture.RecordAnswered(1);
  REQUIRE(fixture.Decide() == GatherDecision::kAnswer);
}

TEST_CASE("a query with sufficient coverage is answered at the soft deadline") {
  GatherFixture fixture(0.89);
  fixture.RecordAnswered(9);
  fixture.m_clock.Advance(Milliseconds(180));
  REQUIRE(fixture.Decide() == GatherDecision::kAnswer);
}

TEST_CASE("a query with insufficient coverage fails at the final deadline") {
  GatherFixture fixture(0.89);
  fixture.RecordAnswered(8);
  fixture.m_clock.Advance(Milliseconds(2'000));
  REQUIRE(fixture.Decide() == GatherDecision::kWait);
  fixture.m_clock.Advance(Milliseconds(500));
  REQUIRE(fixture.Decide() == GatherDecision::kFail);
}

TEST_CASE("a query fails once sufficient coverage cannot be reached") {
  GatherFixture fixture(0.75);
  fixture.m_progress.RecordFailed();
  fixture.m_progress.RecordFailed();
  REQUIRE(fixture.Decide() == GatherDecision::kWait);
  fixture.m_progress.RecordFailed();
  REQUIRE(fixture.Decide() == GatherDecision::kFail);
}

TEST_CASE("a failed last part completes a query with sufficient coverage") {
  GatherFixture fixture(0.89);
  fixture.RecordAnswered(9);
  fixture.m_progress.RecordFailed();
  REQUIRE(fixture.Decide() == GatherDecision::kAnswer);
  REQUIRE(fixture.m_progress.MissingParts() == 1);
}

TEST_CASE("floating-point error does not raise the required number of parts") {
  GatherProgress progress(10, 0.9, GatherDeadlines{});
  for (int part = 0; part < 9; ++part) {
    progress.RecordAnswered();
  }
  REQUIRE(progress.Decide(TimePoint{} + Milliseconds(1)) ==
          GatherDecision::kAnswer);
}

// The number was converted before it was limited, which is undefined for one
// that does not fit and needs a single part on some processors.
TEST_CASE("a share of parts beyond any number requires all of them") {
  for (const double share : {1.5, 1e10, 1e308}) {
    REQUIRE(RequiredParts(4, share) == 4);
  }
  REQUIRE(RequiredParts(4, 0.0) == 1);
}

TEST_CASE("a deadline before the soft one ends a query with what it has") {
  const TimePoint start = ManualClock().Now();
  GatherProgress progress(
      4, 0.75,
      GatherDeadlines{start + Milliseconds(300), start + Milliseconds(100)});
  for (int part = 0; part < 3; ++part) {
    progress.RecordAnswered();
  }
  REQUIRE(progress.Decide(start + Milliseconds(99)) == GatherDecision::kWait);
  REQUIRE(progress.Decide(start + Milliseconds(100)) ==
          GatherDecision::kAnswer);
}

TEST_CASE(
    "a merge keeps the greatest records and duplicates, not incomplete ones") {
  const std::string low(kRecordBytes, 'a');
  const std::string middle(kRecordBytes, 'b');
  const std::string high(kRecordBytes, '\xff');
  const std::string first = middle + low + "remainder";
  const std::string second = high + middle;
  RecordMerge merge;
  merge.Add(first);
  merge.Add(second);
  REQUIRE(merge.Greatest(3) == high + middle + middle);
  REQUIRE(merge.Greatest(10) == high + middle + middle + low);
  REQUIRE(RecordMerge().Greatest(3).empty());
}

}  // namespace
}  // namespace jackdawrack
