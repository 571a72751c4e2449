#include "exchange/change_log.h"

#include <catch2/catch.hpp>

#include "routing/published_state.h"

namespace jackdawrack {
namespace {

ReplicaRecord MakeRecord(const std::string& id, std::uint64_t sequence) {
  ReplicaRecord record;
  record.m_endpoint = Endpoint{"10.0.0.9", 8080};
  record.m_id = UpstreamId(id);
  record.m_service = ServiceName("s");
  record.m_incarnation = Incarnation{1, sequence};
  return record;
}

TEST_CASE("a follower gets the changes after its revision, in order") {
  ChangeLog log;
  log.Restart(10);
  log.Append({{MakeRecord("a", 1)}, 12}, 10);
  log.Append({{ReplicaRemoval{UpstreamId("a")}}, 15}, 12);
  const auto changes = log.ChangesAfter(12);
  REQUIRE(changes.has_value());
  REQUIRE(changes->m_revision == 15);
  REQUIRE(changes->m_changes ==
          std::vector<PublishedChange>{ReplicaRemoval{UpstreamId("a")}});
  REQUIRE(log.ChangesAfter(15)->m_changes.empty());
}

TEST_CASE("a follower from before the log gets no partial history") {
  ChangeLog log;
  log.Restart(10);
  log.Append({{MakeRecord("a", 1)}, 12}, 10);
  REQUIRE_FALSE(log.ChangesAfter(9).has_value());

  // A batch that does not follow the last one begins a new log
  log.Append({{MakeRecord("b", 1)}, 30}, 20);
  REQUIRE_FALSE(log.ChangesAfter(12).has_value());
  REQUIRE(log.ChangesAfter(20)->m_changes.size() == 1);
}

TEST_CASE("the log drops its oldest batches as a whole") {
  ChangeLog log;
  log.Restart(0);
  log.Append({{MakeRecord("x", 1), MakeRecord("y", 1)}, 1}, 0);
  for (std::uint64_t revision = 2; revision <= ChangeLog::kMaxChanges;
       ++revision) {
    log.Append({{MakeRecord("z", revision)}, revision}, revision - 1);
  }
  REQUIRE_FALSE(log.ChangesAfter(0).has_value());
  REQUIRE(log.ChangesAfter(1)->m_changes.size() == ChangeLog::kMaxChanges - 1);
}

TEST_CASE("of several configurations only the last is kept") {
  ChangeLog log;
  log.Restart(1);
  RoutingConfig config;
  for (std::uint64_t version = 1; version <= 5; ++version) {
    config.m_version = version;
    log.Append({{config}, version + 1}, version);
  }
  const auto changes = log.ChangesAfter(1);
  REQUIRE(changes->m_changes == std::vector<PublishedChange>{config});
}

TEST_CASE("changes that overlap with what a follower knows do no harm") {
  // The follower has learned of revision 11 from another reader, whose batches
  // had other boundaries
  ManualClock clock;
  PublishedState state;
  state.Apply({MakeRecord("a", 1)}, clock.Now());
  state.Apply({ReplicaRemoval{UpstreamId("a")}}, clock.Now());

  ChangeLog log;
  log.Restart(9);
  log.Append({{MakeRecord("a", 1), ReplicaRemoval{UpstreamId("a")},
               MakeRecord("b", 1)},
              12},
             9);
  state.Apply(log.ChangesAfter(11)->m_changes, clock.Now());
  REQUIRE(state.Directory().Size() == 1);
  REQUIRE(state.Directory().Records()[0].m_id == UpstreamId("b"));
}

}  // namespace
}  // namespace jackdawrack
