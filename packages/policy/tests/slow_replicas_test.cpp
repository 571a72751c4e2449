#include "policy/slow_replicas.h"

#include <catch2/catch.hpp>

namespace jackdawrack {
namespace {

const FailureDomain kEast("east");

// Records one response for each of 30 shards; the first `slow` ones are ten
// times slower.
void RecordResponses(SlowReplicas& replicas, std::uint64_t slow) {
  for (std::uint64_t shard = 0; shard < 30; ++shard) {
    replicas.Record(ReplicaKey{kEast, shard},
                    Milliseconds(shard < slow ? 40 : 4));
  }
}

TEST_CASE("a slow replica is ejected and used again after a good trial") {
  ManualClock clock;
  SlowReplicas replicas;
  for (int i = 0; i < 3; ++i) {
    RecordResponses(replicas, 1);
  }
  REQUIRE(replicas.Evaluate(clock.Now()) == 1);
  REQUIRE(replicas.ReplicasToAvoid() == ReplicaSet{ReplicaKey{kEast, 0}});

  // On trial it gets one in sixteen requests
  clock.Advance(SlowReplicas::kInitialEjectionTime);
  REQUIRE(replicas.Evaluate(clock.Now()) == 0);
  int tried = 0;
  for (std::uint32_t i = 0; i < SlowReplicas::kRequestsPerTrial * 10; ++i) {
    tried += replicas.ReplicasToAvoid().empty() ? 1 : 0;
  }
  REQUIRE(tried == 10);

  // It is used again once it is as fast as the others
  for (int i = 0; i < 3; ++i) {
    RecordResponses(replicas, 0);
  }
  REQUIRE(replicas.Evaluate(clock.Now()) == 0);
  REQUIRE(replicas.ReplicasToAvoid().empty());
}

TEST_CASE("at most a tenth of a domain's replicas are ejected") {
  ManualClock clock;
  SlowReplicas replicas;
  for (int i = 0; i < 5; ++i) {
    RecordResponses(replicas, 8);
  }
  REQUIRE(replicas.Evaluate(clock.Now()) == 3);
  REQUIRE(replicas.ReplicasToAvoid().size() == 3);
}

TEST_CASE("hedges that win do not hide a slow replica") {
  ManualClock clock;
  SlowReplicas replicas;
  for (int i = 0; i < 5; ++i) {
    RecordResponses(replicas, 0);
  }

  // A hedge wins after 11 ms each time, less than three times the median
  for (int i = 0; i < 5; ++i) {
    replicas.RecordUnanswered(ReplicaKey{kEast, 0}, Milliseconds(11));
  }
  REQUIRE(replicas.Evaluate(clock.Now()) == 1);
}

TEST_CASE(
    "one late response ejects a replica and one response decides its trial") {
  ManualClock clock;
  SlowReplicas replicas;
  const ReplicaKey slow{kEast, 0};
  for (int i = 0; i < 5; ++i) {
    RecordResponses(replicas, 0);
  }
  REQUIRE(replicas.ReplicasOnTrial().empty());
  replicas.RecordUnanswered(slow, Milliseconds(11));
  REQUIRE(replicas.Evaluate(clock.Now()) == 1);

  // Still slow on trial: ejected again
  clock.Advance(SlowReplicas::kInitialEjectionTime);
  REQUIRE(replicas.Evaluate(clock.Now()) == 0);
  REQUIRE(replicas.ReplicasOnTrial() == ReplicaSet{slow});
  replicas.Record(slow, Milliseconds(40));
  REQUIRE(replicas.Evaluate(clock.Now()) == 1);
  REQUIRE(replicas.ReplicasOnTrial().empty());

  // Fast on the next trial: used again
  clock.Advance(2 * SlowReplicas::kInitialEjectionTime);
  REQUIRE(replicas.Evaluate(clock.Now()) == 0);
  replicas.Record(slow, Milliseconds(4));
  REQUIRE(replicas.Evaluate(clock.Now()) == 0);
  REQUIRE(replicas.ReplicasToAvoid().empty());
}

TEST_CASE("no replica is ejected if its whole domain is slow") {
  ManualClock clock;
  SlowReplicas replicas;
  for (int i = 0; i < 5; ++i) {
    RecordResponses(replicas, 30);
  }
  REQUIRE(replicas.Evaluate(clock.Now()) == 0);
}

}  // namespace
}  // namespace jackdawrack
