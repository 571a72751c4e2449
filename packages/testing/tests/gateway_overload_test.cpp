#include <catch2/catch.hpp>
#include <mutex>
#include <thread>

#include "testing/gateway_fleet.h"
#include "testing/raw_caller.h"

namespace jackdawrack {
namespace {

constexpr int kCallers = 40;
constexpr Milliseconds kServiceTime{60};
constexpr Milliseconds kTarget{300};
/// Time in which the queue forms and is found to stand.
constexpr Milliseconds kWarmUp{1'500};
constexpr Milliseconds kLength{4'000};
constexpr double kLeastInTarget = 0.9;

/// One answered request.
struct Sample {
  std::string m_id;
  unsigned m_status = 0;
  bool m_has_pause = false;
  Milliseconds m_took{0};
};

// Calls one after the other until the time is over; refused, it comes back
// after the pause that it is asked for.
std::vector<Sample> CallUntil(std::uint16_t port, int caller, TimePoint end) {
  std::vector<Sample> samples;
  RawCaller connection(port);
  const TimePoint counted_from = end - kLength + kWarmUp;
  for (int call = 0; SteadyClock().Now() < end; ++call) {
    const TimePoint began = SteadyClock().Now();
    Sample sample;
    sample.m_id = std::to_string(caller) + "-" + std::to_string(call);
    const auto reply = connection.Call("GET", "/one/x", sample.m_id);
    if (!reply) {
      break;
    }
    sample.m_status = reply->m_status;
    sample.m_took =
        std::chrono::duration_cast<Milliseconds>(SteadyClock().Now() - began);
    const std::string pause = reply->Header("Retry-After");
    sample.m_has_pause = !pause.empty();
    if (sample.m_has_pause) {
      std::this_thread::sleep_for(
          std::chrono::duration<double>(std::stod(pause)));
    }
    if (began >= counted_from) {
      samples.push_back(std::move(sample));
    }
  }
  return samples;
}

TEST_CASE("more callers than can be served: some in time, the others refused") {
  GatewayFleet fleet({.m_name = "gw-overload"});
  fleet.Start();
  for (const char* domain : {"east", "west"}) {
    fleet.Replica("single", domain).SetServiceTime(kServiceTime);
  }
  const TimePoint end = SteadyClock().Now() + kLength;
  std::mutex mutex;
  std::vector<Sample> samples;
  std::vector<std::thread> callers;
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&, caller] {
      auto own = CallUntil(fleet.CallerPort(), caller, end);
      const std::lock_guard lock(mutex);
      samples.insert(samples.end(), own.begin(), own.end());
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }

  // What was served came in time; what was refused did not run
  std::size_t served = 0;
  std::size_t in_target = 0;
  std::size_t refused = 0;
  for (const Sample& sample : samples) {
    if (sample.m_status == 200) {
      ++served;
      in_target += sample.m_took <= kTarget ? 1 : 0;
      continue;
    }
    REQUIRE(sample.m_status == 503);
    REQUIRE(sample.m_has_pause);
    REQUIRE(fleet.RunsOf(sample.m_id) == 0);
    ++refused;
  }
  CAPTURE(served, in_target, refused);
  REQUIRE(served >= 50);
  REQUIRE(refused > 0);
  REQUIRE(static_cast<double>(in_target) >=
          kLeastInTarget * static_cast<double>(served));
}

}  // namespace
}  // namespace jackdawrack
