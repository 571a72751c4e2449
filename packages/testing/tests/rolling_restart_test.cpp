#include <catch2/catch.hpp>
#include <csignal>

#include "testing/balanced_load.h"

namespace jackdawrack {
namespace {

constexpr std::size_t kClients = 12;

/// Stated bound on the time from SIGTERM to the exit when no request takes
/// longer than its contract's deadline of 1 s: the balancer's lag, the
/// hand-over, the quiet time and the peers' calls.
constexpr int kMaxExitMs = 8000;

TestFleetSettings FleetNamed(const std::string& name) {
  TestFleetSettings settings;
  settings.m_name = name;
  settings.m_instances_per_domain = 2;
  settings.m_balancer_lag_ms = 500;
  return settings;
}

void RequireNothingLost(const BalancedLoadResult& result) {
  for (const auto& [problem, count] : result.m_problems) {
    WARN(count << " times " << problem);
  }
  WARN("calls " << result.m_calls << " whole " << result.m_whole << " cut "
                << result.m_cut << " not served " << result.m_not_served
                << " connections refused " << result.m_refused_connections);
  CHECK(result.m_cut == 0);
  CHECK(result.m_not_served == 0);
  CHECK(result.m_refused_connections == 0);
  CHECK(result.m_calls > 100);
}

TEST_CASE("a rolling restart under load loses and cuts no request") {
  const bool is_announced = GENERATE(true, false);
  CAPTURE(is_announced);
  TestFleet fleet(FleetNamed(is_announced ? "roll-listed" : "roll-unlisted"));
  fleet.Start();
  BalancedLoad load(fleet, kClients);
  int longest_exit_ms = 0;
  for (const std::string& instance : fleet.InstanceNames()) {
    if (is_announced) {
      fleet.SetListed(instance, "leaving");
      fleet.PublishInstances();
    }
    const TimePoint asked = SteadyClock().Now();
    fleet.Process(instance).Signal(SIGTERM);
    CHECK(fleet.Process(instance).WaitExit(kMaxExitMs) == 0);
    longest_exit_ms =
        std::max(longest_exit_ms, int(RemainingMs(asked, SteadyClock().Now())));
    fleet.SetListed(instance, "live");
    fleet.PublishInstances();
    fleet.StartInstance(instance);
    REQUIRE(fleet.WaitReady(instance));
  }
  WARN("longest time from SIGTERM to exit " << longest_exit_ms << " ms");
  RequireNothingLost(load.Stop());
}

}  // namespace
}  // namespace jackdawrack
