#include "gateway/shutdown_schedule.h"

#include <catch2/catch.hpp>

namespace jackdawrack {
namespace {

TEST_CASE("the stages of a planned stop come in order within any grace") {
  const TimePoint began_at = ManualClock().Now();
  for (const int grace_ms : {0, 50, 450, 1'000, 2'000, 6'000, 60'000}) {
    INFO(grace_ms);
    const ShutdownSchedule schedule(began_at, Milliseconds(grace_ms));
    REQUIRE(schedule.StopAcceptingAt() >= began_at);
    REQUIRE(schedule.ResponsesDueAt() >= began_at);
    REQUIRE(schedule.ResponsesDueAt() <= schedule.ExitAt());
    REQUIRE(schedule.ExitAt() <= began_at + Milliseconds(grace_ms));
  }
  const ShutdownSchedule usual(began_at, Milliseconds(6'000));
  REQUIRE(usual.StopAcceptingAt() == began_at + Milliseconds(2'600));
  REQUIRE(usual.ResponsesDueAt() == began_at + Milliseconds(5'500));
}

}  // namespace
}  // namespace jackdawrack
