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

// All callers' answered requests after the warm-up.
std::vector<Sample> RunCallers(const GatewayFleet& fleet) {
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
  return samples;
}

// What was served came in time; what was refused did not run.
void RequireServedInTimeOrRefused(const GatewayFleet& fleet,
                                  const std::vector<Sample>& samples) {
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

TEST_CASE("more callers than can be served: some in time, the others refused") {
  GatewayFleet fleet({.m_name = "gw-overload"});
  fleet.Start();
  for (const char* domain : {"east", "west"}) {
    fleet.Replica("single", domain).SetServiceTime(kServiceTime);
  }
  RequireServedInTimeOrRefused(fleet, RunCallers(fleet));
}

TEST_CASE("replicas with few slots and short queues are not flooded") {
  GatewayFleet fleet({.m_name = "gw-slots"});
  fleet.Start();
  for (const char* domain : {"east", "west"}) {
    fleet.Replica("single", domain).SetServiceTime(Milliseconds(20));
    fleet.Replica("single", domain).SetCapacity({.m_slots = 1, .m_queue = 1});
  }
  RequireServedInTimeOrRefused(fleet, RunCallers(fleet));

  // Refusals of the replicas stay within the bound on repeats
  std::size_t arrived = 0;
  std::size_t refused = 0;
  for (const char* domain : {"east", "west"}) {
    for (const SeenRequest& seen : fleet.Replica("single", domain).Seen()) {
      ++arrived;
      refused += seen.m_has_run ? 0 : 1;
    }
  }
  CAPTURE(arrived, refused);
  REQUIRE(static_cast<double>(refused) <= 0.2 * static_cast<double>(arrived));
}

TEST_CASE("a pause of one replica does not reach the caller") {
  GatewayFleet fleet({.m_name = "gw-pause"});
  fleet.Start();
  RawCaller caller(fleet.CallerPort());
  for (int call = 0; call < 40; ++call) {
    REQUIRE(caller.Call("GET", "/one/x", "w" + std::to_string(call)));
  }
  fleet.Replica("single", "east").Pause(Milliseconds(1'000));
  const TimePoint began = SteadyClock().Now();
  const auto reply = caller.Call("GET", "/one/x", "paused");
  REQUIRE(reply);
  REQUIRE(reply->m_status == 200);
  REQUIRE(reply->Header("X-Server-Stamp") == "u-single-west.paused");
  REQUIRE(SteadyClock().Now() - began < kTarget);
}

}  // namespace
}  // namespace jackdawrack
