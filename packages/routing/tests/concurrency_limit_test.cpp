#include "routing/concurrency_limit.h"

#include <catch2/catch.hpp>

namespace jackdawrack {
namespace {

constexpr Milliseconds kBaseline{10};

// Records `count` answers, one every 50 ms.
void RecordAnswers(ConcurrencyLimit& limit,
                   ManualClock& clock,
                   Milliseconds latency,
                   int count) {
  for (int answer = 0; answer < count; ++answer) {
    clock.Advance(Milliseconds(50));
    limit.RecordAnswer(latency, clock.Now());
  }
}

TEST_CASE("the limit starts at its maximum and follows changes of it") {
  ConcurrencyLimit limit;
  limit.SetMaximum(4);
  REQUIRE(limit.Value() == 4);
  limit.SetMaximum(2);
  REQUIRE(limit.Value() == 2);
  limit.SetMaximum(3);
  REQUIRE(limit.Value() == 3);
}

TEST_CASE("refusals lower the limit to no less than 1 and answers raise it") {
  ManualClock clock;
  ConcurrencyLimit limit;
  limit.SetMaximum(3);
  for (int refusal = 0; refusal < 20; ++refusal) {
    limit.RecordRefusal(clock.Now());
  }
  REQUIRE(limit.Value() == 1);
  clock.Advance(ConcurrencyLimit::kMinDecreaseInterval);
  limit.RecordRefusal(clock.Now());
  REQUIRE(limit.Value() == 1);
  RecordAnswers(limit, clock, kBaseline, 20);
  REQUIRE(limit.Value() == 3);
}

TEST_CASE("latencies above the baseline lower the limit") {
  ManualClock clock;
  ConcurrencyLimit limit;
  limit.SetMaximum(4);
  RecordAnswers(limit, clock, kBaseline, 40);
  REQUIRE(limit.Value() == 4);
  RecordAnswers(limit, clock, Milliseconds(90), 20);
  REQUIRE(limit.Value() == 1);
  RecordAnswers(limit, clock, kBaseline, 60);
  REQUIRE(limit.Value() == 4);
}

TEST_CASE("a replica with constant high latency keeps its limit") {
  ManualClock clock;
  ConcurrencyLimit limit;
  limit.SetMaximum(4);
  RecordAnswers(limit, clock, Milliseconds(200), 100);
  REQUIRE(limit.Value() == 4);
}

}  // namespace
}  // namespace jackdawrack
