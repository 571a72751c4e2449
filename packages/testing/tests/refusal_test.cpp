#include <catch2/catch.hpp>

#include "testing/steady_callers.h"
#include "tool/uuid.h"

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

TEST_CASE("no entry says of a resend that it was not run when the key ran") {
  TestFleetSettings settings = MakeSettings("refusal-resend");
  settings.m_instances_per_domain = 1;
  TestFleet fleet(settings);
  fleet.Start();
  std::string key;
  BookingReply first = BookingReply::kUnknown;
  for (int tries = 0; tries < 100 && first != BookingReply::kRan; ++tries) {
    key = MakeUuidV7(SteadyClock().WallNowMs());
    first = ReadBookingReply(fleet.Book("east-1", "lens-1", key, "b"));
    std::this_thread::sleep_for(Milliseconds(100));
  }
  REQUIRE(first == BookingReply::kRan);

  // Leave each entry alone, one of them without what it knew
  fleet.Proxy().Add({FaultRule()});
  fleet.Process("south-1").Kill();
  fleet.StartInstance("south-1");
  std::this_thread::sleep_for(kStep);
  for (const std::string& instance : fleet.InstanceNames()) {
    const HttpReply reply = fleet.Book(instance, "lens-1", key, "b", true);
    INFO(instance << " " << reply.m_status << " " << reply.m_body);
    REQUIRE(reply.m_status != 0);
    REQUIRE(ReadBookingReply(reply) != BookingReply::kNotRun);
  }
}

}  // namespace
}  // namespace jackdawrack
