#include "policy/refusing_replicas.h"

#include <catch2/catch.hpp>

namespace jackdawrack {
namespace {

const ReplicaKey kReplica{FailureDomain("d"), 7};

bool IsAvoided(const RefusingReplicas& replicas, TimePoint now) {
  ReplicaSet avoided;
  replicas.AddReplicasToAvoid(avoided, now);
  return avoided.count(kReplica) == 1;
}

TEST_CASE("a replica that refuses is avoided until the backoff ends") {
  ManualClock clock;
  RefusingReplicas replicas;
  REQUIRE_FALSE(IsAvoided(replicas, clock.Now()));
  replicas.RecordRefusal(kReplica, clock.Now());
  REQUIRE(IsAvoided(replicas, clock.Now()));
  clock.Advance(RefusingReplicas::kInitialBackoff);
  REQUIRE_FALSE(IsAvoided(replicas, clock.Now()));
}

TEST_CASE("each further refusal doubles the backoff up to its limit") {
  ManualClock clock;
  RefusingReplicas replicas;
  Milliseconds backoff = RefusingReplicas::kInitialBackoff;
  for (int i = 0; i < 10; ++i) {
    replicas.RecordRefusal(kReplica, clock.Now());
    clock.Advance(backoff - Milliseconds(1));
    REQUIRE(IsAvoided(replicas, clock.Now()));
    clock.Advance(Milliseconds(1));
    REQUIRE_FALSE(IsAvoided(replicas, clock.Now()));
    backoff = std::min(backoff * 2, RefusingReplicas::kMaxBackoff);
  }
}

TEST_CASE("late refusals do not extend the backoff and a response resets it") {
  ManualClock clock;
  RefusingReplicas replicas;
  replicas.RecordRefusal(kReplica, clock.Now());
  replicas.RecordRefusal(kReplica, clock.Now());
  clock.Advance(RefusingReplicas::kInitialBackoff);
  REQUIRE_FALSE(IsAvoided(replicas, clock.Now()));
  replicas.RecordRefusal(kReplica, clock.Now());
  replicas.RecordSuccess(kReplica);
  REQUIRE_FALSE(IsAvoided(replicas, clock.Now()));
}

}  // namespace
}  // namespace jackdawrack
