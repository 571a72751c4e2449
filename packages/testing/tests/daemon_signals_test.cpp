#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

#include "testing/test_fleet.h"

namespace jackdawrack {
namespace {

constexpr unsigned kStatusOk = 200;
constexpr Milliseconds kTimeToEnd{300};

// SIGHUP ended the process by its default action.
TEST_CASE("an instance of the classic daemon outlives SIGHUP") {
  TestFleetSettings settings;
  settings.m_name = "sighup";
  TestFleet fleet(settings);
  fleet.Start();
  ChildProcess& process = fleet.Process("east-1");
  for (int turn = 0; turn < 2; ++turn) {
    process.Signal(SIGHUP);
    std::this_thread::sleep_for(kTimeToEnd);
    REQUIRE_FALSE(process.HasEnded());
    REQUIRE(fleet.Query("east-1", "look").m_status == kStatusOk);
  }
  process.Signal(SIGTERM);
  REQUIRE(process.WaitExit(10'000) == 0);
}

}  // namespace
}  // namespace jackdawrack
