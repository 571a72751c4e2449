#include "routing/replica_directory.h"

#include <catch2/catch.hpp>

namespace jackdawrack {
namespace {

ReplicaRecord MakeRecord(std::string id,
                         std::uint64_t started_ms,
                         std::uint64_t sequence) {
  ReplicaRecord record;
  record.m_id = UpstreamId(std::move(id));
  record.m_service = ServiceName("s");
  record.m_incarnation = Incarnation{started_ms, sequence};
  return record;
}

TEST_CASE("a record of an older incarnation does not replace a newer one") {
  ReplicaDirectory directory;
  REQUIRE(directory.Apply(MakeRecord("a", 200, 1)));
  REQUIRE_FALSE(directory.Apply(MakeRecord("a", 100, 9)));
  REQUIRE(directory.Apply(MakeRecord("a", 200, 2)));
  REQUIRE_FALSE(directory.Apply(MakeRecord("a", 200, 1)));
  REQUIRE(directory.Records().front().m_incarnation == Incarnation{200, 2});
}

TEST_CASE("a removal takes effect immediately without a recent store outage") {
  ManualClock clock;
  ReplicaDirectory directory;
  directory.Apply(MakeRecord("a", 1, 1));
  directory.Remove(UpstreamId("a"), clock.Now());
  REQUIRE(directory.Size() == 0);
}

TEST_CASE(
    "a record that expired in a store outage is kept for a grace period") {
  ManualClock clock;
  ReplicaDirectory directory;
  directory.Apply(MakeRecord("expired", 1, 1));
  directory.Apply(MakeRecord("back", 1, 1));
  directory.RecordStoreOutage(clock.Now());
  directory.ApplyListing({}, clock.Now());
  REQUIRE(directory.Size() == 2);
  REQUIRE(directory.MissingIds().size() == 2);

  // One upstream republishes its record, the other record stays missing
  clock.Advance(Milliseconds(1'500));
  directory.Apply(MakeRecord("back", 1, 2));
  REQUIRE(directory.MissingIds() == std::vector{UpstreamId("expired")});
  REQUIRE_FALSE(directory.DropExpired(clock.Now()));
  clock.Advance(Milliseconds(1'000));
  REQUIRE(directory.DropExpired(clock.Now()));
  REQUIRE(directory.Size() == 1);
  REQUIRE(directory.Records().front().m_id == UpstreamId("back"));
}

TEST_CASE("a listing removes the records that are absent from it") {
  ManualClock clock;
  ReplicaDirectory directory;
  directory.Apply(MakeRecord("a", 1, 1));
  directory.Apply(MakeRecord("b", 1, 1));
  directory.ApplyListing({MakeRecord("b", 1, 1), MakeRecord("c", 1, 1)},
                         clock.Now());
  REQUIRE(directory.Size() == 2);
  REQUIRE(directory.Records().back().m_id == UpstreamId("c"));
}

}  // namespace
}  // namespace jackdawrack
