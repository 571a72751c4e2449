#include <catch2/catch.hpp>
#include <csignal>
#include <mutex>
#include <thread>

#include "testing/test_fleet.h"

namespace jackdawrack {
namespace {

constexpr std::uint32_t kRatePerSecond = 200;
constexpr double kAllowedExcess = 1.05;
constexpr double kLeastUsable = 0.9;
constexpr Milliseconds kWindow{1000};
constexpr unsigned kOverLimit = 429;

TestFleetSettings MakeSettings(const std::string& name) {
  TestFleetSettings settings;
  settings.m_name = name;
  settings.m_limits =
      "deadline_ms = 1000\nrate_per_second = 200\nconcurrency = 200\n";
  return settings;
}

// Offers queries at fixed rates and keeps the times of those that were run.
class OfferedLoad final {
 public:
  explicit OfferedLoad(TestFleet& fleet) : m_fleet(fleet) {}

  // Sends `per_second` queries to one instance from a thread of its own.
  void Start(const std::string& instance,
             std::uint32_t per_second,
             Milliseconds duration) {
    m_threads.emplace_back([this, instance, per_second, duration] {
      const auto interval = std::chrono::microseconds(1'000'000 / per_second);
      TimePoint due = SteadyClock().Now();
      for (const TimePoint end = due + duration; due < end; due += interval) {
        std::this_thread::sleep_until(due);
        Send(instance);
      }
    });
  }

  void Join() {
    for (std::thread& thread : m_threads) {
      thread.join();
    }
    m_threads.clear();
  }

  // Greatest number that ran within any window of a second.
  [[nodiscard]] std::size_t BusiestSecond() const {
    std::size_t busiest = 0;
    for (std::size_t first = 0, last = 0; last < m_ran_at.size(); ++last) {
      while (m_ran_at[last] - m_ran_at[first] >= kWindow) {
        ++first;
      }
      busiest = std::max(busiest, last - first + 1);
    }
    return busiest;
  }

  // Number that ran in the last `duration` of the load.
  [[nodiscard]] std::size_t RanInLast(Milliseconds duration) const {
    std::size_t count = 0;
    for (const TimePoint at : m_ran_at) {
      count += at > m_ran_at.back() - duration ? 1 : 0;
    }
    return count;
  }

  void Sort() { std::sort(m_ran_at.begin(), m_ran_at.end()); }

 private:
  void Send(const std::string& instance) {
    const HttpReply reply = m_fleet.Query(instance, "x");
    if (reply.m_status == kOverLimit || reply.m_status == 0) {
      return;
    }
    const std::lock_guard lock(m_mutex);
    m_ran_at.push_back(SteadyClock().Now());
  }

  TestFleet& m_fleet;
  std::mutex m_mutex;
  std::vector<TimePoint> m_ran_at;
  std::vector<std::thread> m_threads;
};

TEST_CASE("a contract is usable through one instance and not exceeded") {
  TestFleet fleet(MakeSettings("limits-skew"));
  fleet.Start();
  OfferedLoad load(fleet);
  for (int caller = 0; caller < 4; ++caller) {
    load.Start("east-1", kRatePerSecond, Milliseconds(4000));
  }
  load.Join();
  load.Sort();
  REQUIRE(load.BusiestSecond() <= kAllowedExcess * kRatePerSecond);
  REQUIRE(load.RanInLast(Milliseconds(2000)) >=
          2 * kLeastUsable * kRatePerSecond);
}

TEST_CASE("a contract is not exceeded by a lender that wakes late") {
  TestFleet fleet(MakeSettings("limits-pause"));
  fleet.Start();
  OfferedLoad load(fleet);
  for (int caller = 0; caller < 3; ++caller) {
    load.Start("east-1", kRatePerSecond, Milliseconds(6000));
  }
  std::this_thread::sleep_for(Milliseconds(1500));
  fleet.Process("south-1").Signal(SIGSTOP);
  std::this_thread::sleep_for(Milliseconds(3000));
  fleet.Process("south-1").Signal(SIGCONT);
  load.Start("south-1", 2 * kRatePerSecond, Milliseconds(1500));
  load.Join();
  load.Sort();
  REQUIRE(load.BusiestSecond() <= kAllowedExcess * kRatePerSecond);
}

}  // namespace
}  // namespace jackdawrack
