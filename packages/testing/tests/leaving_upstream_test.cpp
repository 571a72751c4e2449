#include <catch2/catch.hpp>

#include "testing/steady_callers.h"

namespace jackdawrack {
namespace {

constexpr std::uint64_t kSeed = 405;
/// The promise: no new work later than this after the upstream is leaving.
constexpr Milliseconds kLeavingBound{3000};
constexpr Milliseconds kWatched{2000};
constexpr const char* kUpstream = "u-0-0";

TestFleetSettings MakeSettings(const std::string& name) {
  TestFleetSettings settings;
  settings.m_name = name;
  settings.m_instances_per_domain = 2;
  settings.m_proxied = true;
  settings.m_proxy_seed = kSeed;
  return settings;
}

SteadyCallersSettings Callers() {
  SteadyCallersSettings settings;
  settings.m_seed = kSeed;
  settings.m_booking_threads = 2;
  return settings;
}

// Work of any kind that the upstream was given, refused work included.
std::uint64_t WorkGiven(TestFleet& fleet) {
  const boost::json::object counts = fleet.UpstreamCounts(kUpstream);
  REQUIRE(counts.contains("queries"));
  return JsonNumber(counts, "queries") + JsonNumber(counts, "refused") +
         counts.at("executions").as_object().size();
}

void RequireNoNewWork(TestFleet& fleet) {
  std::this_thread::sleep_for(kLeavingBound);
  const std::uint64_t at_bound = WorkGiven(fleet);
  std::this_thread::sleep_for(kWatched);
  REQUIRE(WorkGiven(fleet) - at_bound == 0);
}

TEST_CASE("an upstream published as leaving gets no new work after 3 s") {
  TestFleet fleet(MakeSettings("leaving"));
  fleet.Start();
  SteadyCallers callers(fleet, Callers());
  std::this_thread::sleep_for(Milliseconds(500));
  REQUIRE(WorkGiven(fleet) > 0);
  fleet.Map().Find(kUpstream).m_state = UpstreamState::kLeaving;
  ++fleet.Map().m_revision;
  fleet.PublishMap();
  RequireNoNewWork(fleet);
  callers.Stop();
  REQUIRE(callers.FirstFault() == "");
}

TEST_CASE("an upstream published as leaving gets none from a domain cut off") {
  TestFleet fleet(MakeSettings("leaving-cut"));
  fleet.Start();
  SteadyCallers callers(fleet, Callers());
  fleet.CutPlatform(fleet.Map().Find(kUpstream).m_domain.Text());
  std::this_thread::sleep_for(Milliseconds(500));
  REQUIRE(WorkGiven(fleet) > 0);
  fleet.Map().Find(kUpstream).m_state = UpstreamState::kLeaving;
  ++fleet.Map().m_revision;
  fleet.PublishMap();
  RequireNoNewWork(fleet);
  callers.Stop();
  REQUIRE(callers.FirstFault() == "");
}

TEST_CASE("an upstream that says it drains gets none with the platform down") {
  TestFleet fleet(MakeSettings("leaving-says"));
  fleet.Start();
  SteadyCallers callers(fleet, Callers());
  std::this_thread::sleep_for(Milliseconds(500));
  REQUIRE(WorkGiven(fleet) > 0);
  fleet.Platform().Kill();
  fleet.SetUpstream(kUpstream, R"({"draining": 1})");
  RequireNoNewWork(fleet);
  callers.Stop();
  REQUIRE(callers.FirstFault() == "");
}

}  // namespace
}  // namespace jackdawrack
