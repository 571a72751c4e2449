#include "routing/admission.h"

#include <array>
#include <catch2/catch.hpp>

#include "routing/standing_queue.h"

namespace jackdawrack {
namespace {

constexpr Milliseconds kTargetLatency{200};

ReplicaCandidate MakeCandidate(std::uint32_t in_flight, Milliseconds latency) {
  ReplicaCandidate candidate;
  candidate.m_in_flight = in_flight;
  candidate.m_latency = latency;
  return candidate;
}

AdmissionRequest MakeRequest(std::size_t optional_services,
                             std::uint32_t relative_priority = 0) {
  AdmissionRequest request;
  request.m_target_latency = kTargetLatency;
  request.m_remaining_time = Milliseconds(2'400);
  request.m_optional_services = optional_services;
  request.m_relative_priority = relative_priority;
  return request;
}

ServiceLoad MakeLoad(Milliseconds wait) {
  return ServiceLoad{wait, Milliseconds(10)};
}

TEST_CASE(
    "the queueing delay is the number of queued requests over the throughput") {
  // Five requests in flight at 10 ms each: one answer every 2 ms
  const std::array replicas{MakeCandidate(2, Milliseconds(10)),
                            MakeCandidate(3, Milliseconds(10))};
  const ServiceLoad load = EstimateLoad(replicas, 40);
  REQUIRE(load.m_queueing_delay == Milliseconds(80));
  REQUIRE(load.m_latency == Milliseconds(10));
}

TEST_CASE("stalled and unusable replicas do not count towards the throughput") {
  ReplicaCandidate stalled = MakeCandidate(3, Milliseconds(10));
  stalled.m_oldest_request_age = Milliseconds(200);
  ReplicaCandidate unusable = MakeCandidate(3, Milliseconds(10));
  unusable.m_is_usable = false;
  const std::array replicas{stalled, unusable,
                            MakeCandidate(1, Milliseconds(10))};
  REQUIRE(EstimateLoad(replicas, 4).m_queueing_delay == Milliseconds(40));

  // No estimate is possible without requests in flight at usable replicas
  const std::array unavailable{stalled, unusable};
  REQUIRE(EstimateLoad(unavailable, 4).m_queueing_delay == Duration::zero());
}

TEST_CASE(
    "a request is refused with a retry delay if the queueing delay is too "
    "long") {
  const auto refusal =
      RefuseIfBusy(MakeRequest(0), {MakeLoad(Milliseconds(120))});
  REQUIRE(refusal);
  REQUIRE(refusal->m_retry_after == Milliseconds(120));
  REQUIRE(refusal->m_load.m_queueing_delay == Milliseconds(120));
  REQUIRE_FALSE(RefuseIfBusy(MakeRequest(0), {MakeLoad(Milliseconds(20))}));

  // The retry delay is at most a third of the remaining time
  const auto long_wait =
      RefuseIfBusy(MakeRequest(0), {MakeLoad(Milliseconds(5'000))});
  REQUIRE(long_wait);
  REQUIRE(long_wait->m_retry_after == Milliseconds(800));
}

TEST_CASE("requests to slow replicas are admitted while none is queued") {
  const ServiceLoad slow{Duration::zero(), Milliseconds(900)};
  REQUIRE_FALSE(RefuseIfBusy(MakeRequest(0), {slow}));
}

TEST_CASE("a shard whose answer is not required does not cause a refusal") {
  const std::vector<ServiceLoad> loads{MakeLoad(Milliseconds(0)),
                                       MakeLoad(Milliseconds(500)),
                                       MakeLoad(Milliseconds(5))};
  REQUIRE(RefuseIfBusy(MakeRequest(0), loads));
  REQUIRE_FALSE(RefuseIfBusy(MakeRequest(1), loads));
}

TEST_CASE("a request of lower priority is refused at a lower load") {
  const std::vector<ServiceLoad> loads{MakeLoad(Milliseconds(30))};
  REQUIRE_FALSE(RefuseIfBusy(MakeRequest(0, 0), loads));
  REQUIRE(RefuseIfBusy(MakeRequest(0, 1), loads));
}

TEST_CASE("a queue that drains after a short pause is not a standing queue") {
  ManualClock clock;
  StandingQueue queue;
  queue.Update(true, clock.Now());
  clock.Advance(Milliseconds(300));
  queue.Update(false, clock.Now());
  REQUIRE_FALSE(queue.IsStanding(clock.Now()));
  clock.Advance(StandingQueue::kEmptyTime);
  queue.Update(true, clock.Now());
  clock.Advance(Milliseconds(300));
  REQUIRE_FALSE(queue.IsStanding(clock.Now()));
}

TEST_CASE("a queue that refills immediately is standing until it stays empty") {
  ManualClock clock;
  StandingQueue queue;
  for (int cycle = 0; cycle < 10; ++cycle) {
    queue.Update(true, clock.Now());
    clock.Advance(Milliseconds(40));
    queue.Update(false, clock.Now());
    clock.Advance(Milliseconds(10));
  }
  REQUIRE(queue.IsStanding(clock.Now()));
  clock.Advance(StandingQueue::kEmptyTime);
  REQUIRE_FALSE(queue.IsStanding(clock.Now()));
}

}  // namespace
}  // namespace jackdawrack
