#include "routing/gather_progress.h"

#include <catch2/catch.hpp>

#include "routing/record_merge.h"

namespace jackdawrack {
namespace {

class Gathering final {
 public:
  explicit Gathering(double least_share)
      : m_progress(10,
                   least_share,
                   GatherTiming{m_clock.Now() + Milliseconds(180),
                                m_clock.Now() + Milliseconds(2'500)}) {}

  void Cover(int parts) {
    for (int part = 0; part < parts; ++part) {
      m_progress.NoteCovered();
    }
  }

  [[nodiscard]] GatherVerdict Decide() const {
    return m_progress.Decide(m_clock.Now());
  }

  ManualClock m_clock;
  GatherProgress m_progress;
};

TEST_CASE("a query with all its parts is answered at once") {
  Gathering gathering(0.89);
  gathering.Cover(9);
  REQUIRE(gathering.Decide() == GatherVerdict::kWait);
  gathering.Cover(1);
  REQUIRE(gathering.Decide() == GatherVerdict::kAnswer);
}

TEST_CASE("a query that covers enough is answered before its target latency") {
  Gathering gathering(0.89);
  gathering.Cover(9);
  gathering.m_clock.Advance(Milliseconds(180));
  REQUIRE(gathering.Decide() == GatherVerdict::kAnswer);
}

TEST_CASE("a query that covers too little waits on until its time is over") {
  Gathering gathering(0.89);
  gathering.Cover(8);
  gathering.m_clock.Advance(Milliseconds(2'000));
  REQUIRE(gathering.Decide() == GatherVerdict::kWait);
  gathering.m_clock.Advance(Milliseconds(500));
  REQUIRE(gathering.Decide() == GatherVerdict::kFail);
}

TEST_CASE("a query that cannot cover enough any more fails at once") {
  Gathering gathering(0.75);
  gathering.m_progress.NoteLost();
  gathering.m_progress.NoteLost();
  REQUIRE(gathering.Decide() == GatherVerdict::kWait);
  gathering.m_progress.NoteLost();
  REQUIRE(gathering.Decide() == GatherVerdict::kFail);
}

TEST_CASE("a lost part ends the wait when no other is open") {
  Gathering gathering(0.89);
  gathering.Cover(9);
  gathering.m_progress.NoteLost();
  REQUIRE(gathering.Decide() == GatherVerdict::kAnswer);
  REQUIRE(gathering.m_progress.Missing() == 1);
}

TEST_CASE("the least share is a count of parts without rounding errors") {
  GatherProgress progress(10, 0.9, GatherTiming{});
  for (int part = 0; part < 9; ++part) {
    progress.NoteCovered();
  }
  REQUIRE(progress.Decide(TimePoint{} + Milliseconds(1)) ==
          GatherVerdict::kAnswer);
}

TEST_CASE("the greatest records are kept, equal ones all, remainders not") {
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
