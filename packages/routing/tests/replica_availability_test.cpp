#include "routing/replica_availability.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "core/hash.h"
#include "routing/availability_table.h"

namespace jackdawrack {
namespace {

constexpr Milliseconds kDrainBound{3'000};

ReplicaRecord MakeRecord(const std::string& id, std::uint64_t started_ms) {
  ReplicaRecord record;
  record.m_id = UpstreamId(id);
  record.m_incarnation.m_started_ms = started_ms;
  return record;
}

TEST_CASE("an upstream that leaves is a last resort, then unavailable") {
  ManualClock clock;
  ReplicaAvailability availability;
  REQUIRE(availability.At(clock.Now()) == Availability::kAvailable);
  availability.RecordLeaving(kDrainBound, clock.Now());
  REQUIRE(availability.At(clock.Now()) == Availability::kLastResort);
  clock.Advance(Milliseconds(2'000));

  // Further responses say the same and do not extend the time
  availability.RecordLeaving(kDrainBound, clock.Now());
  clock.Advance(Milliseconds(1'000));
  REQUIRE(availability.At(clock.Now()) == Availability::kUnavailable);
  clock.Advance(std::chrono::hours(5));
  REQUIRE(availability.At(clock.Now()) == Availability::kUnavailable);
}

TEST_CASE("an upstream is left alone for the pause that it asked for") {
  ManualClock clock;
  ReplicaAvailability availability;
  availability.RecordPause(Milliseconds(2'000), 0, clock.Now());
  clock.Advance(Milliseconds(500));

  // A shorter pause does not end the longer one
  availability.RecordPause(Milliseconds(100), 0, clock.Now());
  clock.Advance(Milliseconds(1'499));
  REQUIRE(availability.At(clock.Now()) == Availability::kUnavailable);
  availability.RecordPause(Milliseconds(1'000), 0, clock.Now());
  clock.Advance(Milliseconds(999));
  REQUIRE(availability.At(clock.Now()) == Availability::kUnavailable);
  clock.Advance(Milliseconds(1));
  REQUIRE(availability.At(clock.Now()) == Availability::kAvailable);
}

TEST_CASE("a pause is bounded") {
  ManualClock clock;
  ReplicaAvailability availability;
  availability.RecordPause(Milliseconds::max(), 0, clock.Now());
  clock.Advance(ReplicaAvailability::kMaxPause);
  REQUIRE(availability.At(clock.Now()) == Availability::kAvailable);
  availability.RecordPause(Milliseconds(-5), 0, clock.Now());
  REQUIRE(availability.At(clock.Now()) == Availability::kAvailable);
}

TEST_CASE(
    "what an upstream said holds for its process, also without a record") {
  ManualClock clock;
  AvailabilityTable table;
  table.Find(MakeRecord("a", 1))->RecordLeaving(kDrainBound, clock.Now());
  table.Forget(clock.Now());
  clock.Advance(std::chrono::minutes(20));
  table.Forget(clock.Now());
  REQUIRE(table.Find(MakeRecord("a", 1))->IsLeaving());

  // A process that started later is another upstream
  REQUIRE_FALSE(table.Find(MakeRecord("a", 2))->IsLeaving());
}

TEST_CASE("upstreams without a record are forgotten after a while") {
  ManualClock clock;
  AvailabilityTable table;
  for (int number = 0; number < 1'000; ++number) {
    const std::string id = "u" + std::to_string(number);
    table.Find(MakeRecord(id, 1))->RecordLeaving(kDrainBound, clock.Now());
  }
  table.Find(MakeRecord("silent", 1));
  const auto used = table.Find(MakeRecord("used", 1));
  table.Forget(clock.Now());
  REQUIRE(table.Size() == 1'001);
  clock.Advance(AvailabilityTable::kRetention);
  table.Forget(clock.Now());
  REQUIRE(table.Size() == 1);
}

}  // namespace
}  // namespace jackdawrack
