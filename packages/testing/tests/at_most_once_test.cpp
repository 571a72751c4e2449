#include <catch2/catch.hpp>
#include <csignal>

#include "testing/booking_load.h"
#include "tool/uuid.h"

namespace jackdawrack {
namespace {

constexpr std::uint32_t kSeed = 5201;
constexpr std::size_t kCallers = 8;

/// Longer than a witness's promise by 3 s.
constexpr Milliseconds kPause{5200};

/// Stated bound on the time for which bookings are refused after an instance
/// was killed or paused: the promise, the mint margin, the caller's deadline
/// and the rounds.
constexpr Milliseconds kMaxRefusal{5000};

TestFleetSettings FleetNamed(const std::string& name) {
  TestFleetSettings settings;
  settings.m_name = name;
  settings.m_instances_per_domain = 2;
  return settings;
}

void Sleep(Milliseconds time) {
  std::this_thread::sleep_for(time);
}

void RequirePromises(const std::vector<BookingRecord>& records,
                     std::uint32_t seed) {
  const BookingVerdict verdict = CheckBookings(records);
  WARN("seed " << seed << " keys " << verdict.m_keys << " ran " << verdict.m_ran
               << " not_run " << verdict.m_not_run << " unknown "
               << verdict.m_unknown << " double runs " << verdict.m_double_runs
               << " false refusals " << verdict.m_false_refusals);
  CHECK(verdict.m_double_runs == 0);
  CHECK(verdict.m_false_refusals == 0);
  CHECK(verdict.m_false_runs == 0);
  CHECK(verdict.m_ran > verdict.m_keys / 4);
}

void RequireShortRefusal(const std::vector<BookingRecord>& records,
                         TimePoint fault,
                         const std::string& victim) {
  const Milliseconds refused = RefusalTime(records, fault, victim);
  WARN("refused for " << refused.count() << " ms");
  CHECK(refused <= kMaxRefusal);
}

TEST_CASE("a killed instance makes no booking run twice") {
  TestFleet fleet(FleetNamed("once-kill"));
  fleet.Start();
  BookingLoad load(fleet, kSeed, kCallers);
  Sleep(Milliseconds(1000));
  const TimePoint fault = SteadyClock().Now();
  fleet.Process("east-1").Kill();
  Sleep(Milliseconds(6000));
  const auto records = load.Stop();
  RequirePromises(records, kSeed);
  RequireShortRefusal(records, fault, "east-1");
}

TEST_CASE("instances killed and restarted in turn make no booking run twice") {
  TestFleet fleet(FleetNamed("once-restart"));
  fleet.Start();
  BookingLoad load(fleet, kSeed + 100, kCallers);
  for (const std::string& instance : fleet.InstanceNames()) {
    Sleep(Milliseconds(400));
    fleet.Process(instance).Kill();
    fleet.StartInstance(instance);
    REQUIRE(fleet.WaitReady(instance));
  }
  RequirePromises(load.Stop(), kSeed + 100);
}

TEST_CASE("an instance that wakes late makes no booking run twice") {
  TestFleet fleet(FleetNamed("once-pause"));
  fleet.Start();
  BookingLoad load(fleet, kSeed + 200, kCallers);
  Sleep(Milliseconds(500));
  const TimePoint fault = SteadyClock().Now();
  fleet.Process("south-1").Signal(SIGSTOP);
  Sleep(kPause);
  fleet.Process("south-1").Signal(SIGCONT);
  Sleep(Milliseconds(2000));
  const auto records = load.Stop();
  RequirePromises(records, kSeed + 200);
  RequireShortRefusal(records, fault, "south-1");
}

TEST_CASE("changing lists and maps make no booking run twice") {
  TestFleet fleet(FleetNamed("once-lists"));
  fleet.Start();
  BookingLoad load(fleet, kSeed + 300, kCallers);
  std::mt19937 random(kSeed);
  const std::vector<std::string> names = fleet.InstanceNames();
  for (int round = 0; round < 12; ++round) {
    // A paused instance wakes with the list and map before
    const std::string sleeper = names[random() % names.size()];
    fleet.Process(sleeper).Signal(SIGSTOP);
    fleet.SetListed(names[random() % names.size()],
                    round % 2 == 0 ? "absent" : "live");
    fleet.PublishInstances();
    ++fleet.Map().m_revision;
    for (TestMap::TestShard& shard : fleet.Map().m_shards) {
      std::reverse(shard.m_replicas.begin(), shard.m_replicas.end());
    }
    fleet.PublishMap();
    Sleep(Milliseconds(300 + random() % 500));
    fleet.Process(sleeper).Signal(SIGCONT);
    Sleep(Milliseconds(300));
  }
  RequirePromises(load.Stop(), kSeed + 300);
}

TEST_CASE("a key that is used with another body or place is refused") {
  TestFleet fleet(FleetNamed("once-body"));
  fleet.Start();
  const std::string key = MakeUuidV7(SteadyClock().WallNowMs());
  REQUIRE(fleet.Book("east-1", "lens-1", key, "a").m_status == 200);
  for (const char* lens : {"lens-1", "lens-2", "lens-3", "lens-4"}) {
    const HttpReply other = fleet.Book("south-2", lens, key, "b");
    INFO(other.m_body);
    CHECK(other.m_status != 200);
  }
  REQUIRE(fleet.Executions(key) == 1);
}

TEST_CASE("an old key is unknown and a key from the future is refused") {
  TestFleet fleet(FleetNamed("once-mint"));
  fleet.Start();
  const UnixMs now = SteadyClock().WallNowMs();
  const std::string old_key = MakeUuidV7(now - 60'000);
  const auto old_answer =
      ParseJsonObject(fleet.Book("east-1", "lens-1", old_key, "a").m_body);
  REQUIRE(old_answer.has_value());
  CHECK(JsonText(*old_answer, "outcome") == "unknown");
  const std::string future_key = MakeUuidV7(now + 60'000);
  const auto future_answer =
      ParseJsonObject(fleet.Book("east-1", "lens-1", future_key, "a").m_body);
  REQUIRE(future_answer.has_value());
  CHECK(JsonText(*future_answer, "outcome") == "not_run");
  CHECK(fleet.Executions(old_key) == 0);
  CHECK(fleet.Executions(future_key) == 0);
}

}  // namespace
}  // namespace jackdawrack
