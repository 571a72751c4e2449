#include "routing/retry_budget.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <vector>

namespace jackdawrack {
namespace {

constexpr RetryBudgetSettings kSettings{0.2, 58, Milliseconds(10'000)};
constexpr std::size_t kFleetSize = 9;

TEST_CASE("without requests only this instance's share of the slack is used") {
  ManualClock clock;
  RetryBudget budget(kSettings, clock.Now());
  std::size_t taken = 0;
  while (budget.TryTake(RepeatPurpose::kRetry, kFleetSize, clock.Now())) {
    ++taken;
  }
  REQUIRE(taken <= 58 / kFleetSize);
  REQUIRE(budget.Remaining(kFleetSize, clock.Now()) < 1);
  REQUIRE(taken >= 4);
}

TEST_CASE("hedges leave a part of the budget to retries") {
  ManualClock clock;
  RetryBudget budget(kSettings, clock.Now());
  for (int request = 0; request < 1000; ++request) {
    budget.RecordRequest(clock.Now());
  }
  while (budget.TryTake(RepeatPurpose::kHedge, kFleetSize, clock.Now())) {
  }
  REQUIRE(budget.TryTake(RepeatPurpose::kRetry, kFleetSize, clock.Now()));
}

TEST_CASE("a repeat that was not sent is returned to the budget") {
  ManualClock clock;
  RetryBudget budget(kSettings, clock.Now());
  while (budget.TryTake(RepeatPurpose::kRetry, kFleetSize, clock.Now())) {
  }
  budget.Refund();
  REQUIRE(budget.TryTake(RepeatPurpose::kRetry, kFleetSize, clock.Now()));
  REQUIRE_FALSE(budget.TryTake(RepeatPurpose::kRetry, kFleetSize, clock.Now()));
}

TEST_CASE("a new instance cannot use the slack during its first window") {
  ManualClock clock;
  RetryBudget budget(kSettings, clock.Now() + kSettings.m_window);
  REQUIRE_FALSE(budget.TryTake(RepeatPurpose::kRetry, 1, clock.Now()));
  clock.Advance(kSettings.m_window);
  REQUIRE(budget.TryTake(RepeatPurpose::kRetry, 1, clock.Now()));
}

TEST_CASE("restarts of the whole fleet do not exceed the bound of a window") {
  // Each instance uses its whole budget and is restarted twice; after a restart
  // it does not know any other instance yet
  ManualClock clock;
  std::size_t repeats = 0;
  std::size_t requests = 0;
  for (int incarnation = 0; incarnation < 3; ++incarnation) {
    const TimePoint slack_available_at =
        incarnation == 0 ? clock.Now() : clock.Now() + kSettings.m_window;
    for (std::size_t instance = 0; instance < kFleetSize; ++instance) {
      RetryBudget budget(kSettings, slack_available_at);
      for (int request = 0; request < 10; ++request) {
        budget.RecordRequest(clock.Now());
        ++requests;
      }
      const std::size_t known_instances = incarnation == 0 ? kFleetSize : 1;
      while (
          budget.TryTake(RepeatPurpose::kRetry, known_instances, clock.Now())) {
        ++repeats;
      }
    }
    clock.Advance(Milliseconds(3'000));
  }
  REQUIRE(static_cast<double>(repeats) <=
          kSettings.m_ratio * static_cast<double>(requests) +
              kSettings.m_slack);
}

TEST_CASE("the fleet stays within the bound in every sliding window") {
  // The load alternates between on and off, and each instance uses its whole
  // budget
  ManualClock clock;
  std::vector<RetryBudget> fleet(kFleetSize,
                                 RetryBudget(kSettings, clock.Now()));
  std::deque<TimePoint> requests;
  std::deque<TimePoint> repeats;
  const auto window = kSettings.m_window;
  for (int step = 0; step < 6'000; ++step) {
    clock.Advance(Milliseconds(10));
    const TimePoint now = clock.Now();
    const bool is_busy = (step / 700) % 2 == 0;
    for (RetryBudget& budget : fleet) {
      if (is_busy && step % 3 == 0) {
        budget.RecordRequest(now);
        requests.push_back(now);
      }
      while (budget.TryTake(RepeatPurpose::kRetry, kFleetSize, now)) {
        repeats.push_back(now);
      }
    }

    // The bound applies to the largest number of requests in the current
    // window, the previous one and the one half a window earlier, as the load
    // benchmark checks it
    std::erase_if(repeats, [&](TimePoint at) { return at <= now - window; });
    std::erase_if(requests,
                  [&](TimePoint at) { return at <= now - 2 * window; });
    const auto count_from = [&](TimePoint from) {
      return std::count_if(requests.begin(), requests.end(), [&](TimePoint at) {
        return at > from && at <= from + window;
      });
    };
    const auto counted =
        std::max({count_from(now - window), count_from(now - window * 3 / 2),
                  count_from(now - window * 2)});
    const double allowed =
        kSettings.m_ratio * static_cast<double>(counted) + kSettings.m_slack;
    REQUIRE(static_cast<double>(repeats.size()) <= allowed);
  }
}

// The length of a bucket was rounded down to zero milliseconds and divided by.
TEST_CASE(
    "a window shorter than a millisecond a bucket passes like any other") {
  ManualClock clock;
  RetryBudget budget({0.2, 0, Milliseconds(1)}, clock.Now());
  clock.Advance(Milliseconds(10));
  for (int request = 0; request < 100; ++request) {
    budget.RecordRequest(clock.Now());
  }
  REQUIRE(budget.TryTake(RepeatPurpose::kRetry, 1, clock.Now()));
  clock.Advance(Milliseconds(2));
  REQUIRE(!budget.TryTake(RepeatPurpose::kRetry, 1, clock.Now()));
}

}  // namespace
}  // namespace jackdawrack
