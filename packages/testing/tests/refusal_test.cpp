#include <catch2/catch.hpp>

#include "testing/steady_callers.h"

namespace jackdawrack {
namespace {

constexpr std::uint64_t kSeed = 404;
constexpr Milliseconds kStep{1000};
/// Longer than any lease, deadline or heartbeat of the run.
constexpr int kLongestRefusalMs = 15'000;

TestFleetSettings MakeSettings(const std::string& name) {
  TestFleetSettings settings;
  settings.m_name = name;
  settings.m_instances_per_domain = 2;
  settings.m_proxied = true;
  settings.m_proxy_seed = kSeed;
  return settings;
}

SteadyCallersSettings Bookers() {
  SteadyCallersSettings settings;
  settings.m_seed = kSeed;
  settings.m_query_threads = 2;
  settings.m_booking_threads = 6;
  return settings;
}

// Waits until bookings run, so that a test does not only see refusals.
void WaitForBookings(const SteadyCallers& callers, std::size_t more) {
  const std::size_t wanted =
      callers.Bookings().Count(BookingReply::kRan) + more;
  for (int waited = 0; waited < kLongestRefusalMs; waited += 10) {
    if (callers.Bookings().Count(BookingReply::kRan) >= wanted) {
      return;
    }
    std::this_thread::sleep_for(Milliseconds(10));
  }
  FAIL("bookings do not run again");
}

TEST_CASE("bookings run at most once and refusals are true over cut domains") {
  TestFleet fleet(MakeSettings("refusal-cut"));
  fleet.Start();
  SteadyCallers callers(fleet, Bookers());
  WaitForBookings(callers, 10);
  fleet.CutDomains("east", "south");
  std::this_thread::sleep_for(kStep);
  fleet.CutDomains("east", "west");
  std::this_thread::sleep_for(kStep);
  fleet.Proxy().Heal();
  WaitForBookings(callers, 10);
  callers.Stop();
  REQUIRE(callers.FirstFault() == "");
}

TEST_CASE("bookings run at most once and refusals are true on silent links") {
  TestFleet fleet(MakeSettings("refusal-silent"));
  fleet.Start();
  SteadyCallers callers(fleet, Bookers());
  WaitForBookings(callers, 10);
  fleet.SilencePeers();
  std::this_thread::sleep_for(kStep);
  fleet.SilenceUpstreams();
  std::this_thread::sleep_for(kStep);
  WaitForBookings(callers, 10);
  callers.Stop();
  REQUIRE(callers.FirstFault() == "");
}

TEST_CASE("bookings run at most once and refusals are true on lossy links") {
  TestFleet fleet(MakeSettings("refusal-lossy"));
  fleet.Start();
  FaultRule lossy;
  lossy.m_fault = ProxyFault::kDelay;
  lossy.m_jitter = Milliseconds(100);
  lossy.m_stalls_per_mille = 200;
  SteadyCallers callers(fleet, Bookers());
  WaitForBookings(callers, 10);
  fleet.Proxy().Add({lossy});
  std::this_thread::sleep_for(kStep * 2);
  FaultRule upstreams_cut;
  upstreams_cut.m_match.m_kind = "upstream";
  fleet.Proxy().Add({upstreams_cut});
  std::this_thread::sleep_for(kStep / 2);
  fleet.Proxy().Heal();
  WaitForBookings(callers, 10);
  callers.Stop();
  REQUIRE(callers.FirstFault() == "");
}

}  // namespace
}  // namespace jackdawrack
