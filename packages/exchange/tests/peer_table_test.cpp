#include "exchange/peer_table.h"

#include <catch2/catch.hpp>

namespace jackdawrack {
namespace {

const Endpoint kSeedEndpoint{"10.0.0.9", 1};

PeerEntry MakeEntry(std::string id,
                    std::string domain,
                    std::uint64_t heartbeat) {
  PeerEntry entry;
  entry.m_id = InstanceId(std::move(id));
  entry.m_domain = FailureDomain(std::move(domain));
  entry.m_endpoint = Endpoint{"10.0.0." + std::to_string(heartbeat % 200), 7};
  entry.m_epoch = 1;
  entry.m_heartbeat = heartbeat;
  return entry;
}

TEST_CASE("an instance without peers counts itself and contacts a seed") {
  ManualClock clock;
  PeerTable table(MakeEntry("a", "east", 1), {kSeedEndpoint});
  REQUIRE_FALSE(table.IsInitialized());
  REQUIRE(table.PickTarget(3, clock.Now()) == kSeedEndpoint);
  REQUIRE(table.CountByDomain(clock.Now()).at(FailureDomain("east")) == 1);
}

TEST_CASE("an instance does not contact its own address") {
  ManualClock clock;
  const PeerEntry self = MakeEntry("a", "east", 1);
  PeerTable table(self, {self.m_endpoint});
  REQUIRE_FALSE(table.PickTarget(0, clock.Now()).has_value());
  REQUIRE(table.IsInitialized());
}

TEST_CASE("all entries of a peer are known after one exchange") {
  ManualClock clock;
  PeerTable table(MakeEntry("a", "east", 1), {kSeedEndpoint});
  table.Merge({MakeEntry("b", "east", 5), MakeEntry("c", "west", 9),
               MakeEntry("a", "east", 1)},
              clock.Now());
  REQUIRE(table.IsInitialized());
  const auto counts = table.CountByDomain(clock.Now());
  REQUIRE(counts.at(FailureDomain("east")) == 2);
  REQUIRE(counts.at(FailureDomain("west")) == 1);
}

TEST_CASE("a silent peer is counted until a timeout, a leaving peer is not") {
  ManualClock clock;
  PeerTable table(MakeEntry("a", "east", 1), {kSeedEndpoint});
  PeerEntry leaving = MakeEntry("c", "east", 3);
  table.Merge({MakeEntry("b", "east", 2), leaving}, clock.Now());
  leaving.m_is_leaving = true;
  leaving.m_heartbeat = 4;
  table.Merge({leaving}, clock.Now());
  REQUIRE(table.CountByDomain(clock.Now()).at(FailureDomain("east")) == 2);

  clock.Advance(PeerTable::kLiveTimeout + Milliseconds(1));
  REQUIRE(table.CountByDomain(clock.Now()).at(FailureDomain("east")) == 2);
  REQUIRE(table.Entries(clock.Now()).size() == 1);
  clock.Advance(PeerTable::kShareTimeout);
  REQUIRE(table.CountByDomain(clock.Now()).at(FailureDomain("east")) == 1);
}

TEST_CASE("repeated reports of an old heartbeat do not keep a peer live") {
  ManualClock clock;
  PeerTable table(MakeEntry("a", "east", 1), {kSeedEndpoint});
  for (int second = 0; second < 12; ++second) {
    table.Merge(
        {MakeEntry("b", "east", 100 + second), MakeEntry("dead", "east", 7)},
        clock.Now());
    clock.Advance(Milliseconds(1'000));
  }
  REQUIRE(table.Entries(clock.Now()).size() == 2);
}

TEST_CASE("a restarted peer's own entry replaces one with a higher epoch") {
  ManualClock clock;
  PeerTable table(MakeEntry("a", "east", 1), {});
  PeerEntry before = MakeEntry("b", "east", 90);
  before.m_epoch = 500;
  table.Merge({before}, clock.Now());
  PeerEntry after = MakeEntry("b", "west", 1);
  after.m_epoch = 400;
  table.Merge({after}, clock.Now());
  REQUIRE(table.CountByDomain(clock.Now()).count(FailureDomain("west")) == 1);
}

TEST_CASE("most exchanges stay in the failure domain, some contact others") {
  ManualClock clock;
  PeerTable table(MakeEntry("a", "east", 1), {kSeedEndpoint});
  const PeerEntry local = MakeEntry("b", "east", 2);
  const PeerEntry remote = MakeEntry("c", "west", 3);
  table.Merge({local, remote}, clock.Now());
  int to_local = 0;
  int to_remote = 0;
  int to_seed = 0;
  for (std::uint64_t exchange = 0; exchange < 80; ++exchange) {
    const auto target = table.PickTarget(exchange, clock.Now());
    to_local += target == local.m_endpoint ? 1 : 0;
    to_remote += target == remote.m_endpoint ? 1 : 0;
    to_seed += target == kSeedEndpoint ? 1 : 0;
  }
  REQUIRE(to_local > to_remote);
  REQUIRE(to_remote >= 10);
  REQUIRE(to_seed == 10);
}

}  // namespace
}  // namespace jackdawrack
