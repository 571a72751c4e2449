#include "routing/concurrency_limit.h"

#include <algorithm>
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

TEST_CASE(
    "after a pause, hundreds of waiting callers are served step by step") {
  // A replica of four slots that answers in 10 ms, with callers waiting
  ManualClock clock;
  ConcurrencyLimit limit;
  limit.SetMaximum(40);
  REQUIRE(limit.Value() == 40);
  limit.Restart();
  std::size_t waiting = 300;
  std::size_t in_flight = 0;
  std::size_t most_in_first_rounds = 0;
  for (int round = 0; waiting > 0; ++round) {
    for (; in_flight > 0; --in_flight) {
      limit.RecordAnswer(Milliseconds(10), clock.Now());
    }
    in_flight = std::min(limit.Value(), waiting);
    waiting -= in_flight;
    if (round < 5) {
      most_in_first_rounds = std::max(most_in_first_rounds, in_flight);
    }
    clock.Advance(Milliseconds(10));
  }
  REQUIRE(most_in_first_rounds == 1);
}

}  // namespace
}  // namespace jackdawrack
