#include <catch2/catch.hpp>

#include "policy/decaying_latency_histogram.h"
#include "policy/extra_request_budget.h"
#include "policy/upstream_health.h"

namespace jackdawrack {
namespace {

TEST_CASE("extra requests are limited to the ratio plus one burst") {
  ExtraRequestBudget budget(10);
  int spent = 0;
  for (int i = 0; i < 10'000; ++i) {
    budget.Earn(1, 0.03);
    spent += budget.TrySpend() ? 1 : 0;
  }
  REQUIRE(spent <= 310);
  REQUIRE(spent >= 290);
}

TEST_CASE("unused tokens accumulate only up to the burst") {
  ExtraRequestBudget budget(5);
  budget.Earn(100'000, 0.05);
  int spent = 0;
  while (budget.TrySpend()) {
    ++spent;
  }
  REQUIRE(spent == 5);
}

TEST_CASE("latency quantiles follow recent latencies") {
  ManualClock clock;
  DecayingLatencyHistogram latency(Milliseconds(1'000));
  REQUIRE_FALSE(latency.Quantile(0.5, 1).has_value());
  for (int i = 0; i < 100; ++i) {
    latency.Record(Milliseconds(2), clock.Now());
  }
  REQUIRE(*latency.Quantile(0.95, 50) < Milliseconds(3));

  // After several half-lives the new latency outweighs the old one
  for (int i = 0; i < 10; ++i) {
    clock.Advance(Milliseconds(1'001));
    for (int j = 0; j < 20; ++j) {
      latency.Record(Milliseconds(40), clock.Now());
    }
  }
  REQUIRE(*latency.Quantile(0.5, 10) > Milliseconds(35));
}

TEST_CASE(
    "consecutive connect failures make an upstream unreachable until a reply") {
  ManualClock clock;
  UpstreamHealth health;
  REQUIRE_FALSE(health.OnConnectFailure(clock.Now()));
  health.OnReply();
  REQUIRE_FALSE(health.OnConnectFailure(clock.Now()));
  REQUIRE(health.OnConnectFailure(clock.Now()));
  REQUIRE(health.IsUnreachable());

  // One probe per interval, the first after one interval
  REQUIRE_FALSE(health.TryStartProbe(clock.Now()));
  clock.Advance(UpstreamHealth::kProbeInterval);
  REQUIRE(health.TryStartProbe(clock.Now()));
  REQUIRE_FALSE(health.TryStartProbe(clock.Now()));
  health.OnReply();
  REQUIRE_FALSE(health.IsUnreachable());
}

TEST_CASE("a report ends the draining state of an upstream") {
  ManualClock clock;
  UpstreamHealth health;
  REQUIRE(health.OnDrainingReport(true, clock.Now()));
  REQUIRE_FALSE(health.OnDrainingReport(true, clock.Now()));
  REQUIRE(health.IsDraining());
  clock.Advance(UpstreamHealth::kProbeInterval);
  REQUIRE(health.TryStartProbe(clock.Now()));
  REQUIRE(health.OnDrainingReport(false, clock.Now()));
  REQUIRE_FALSE(health.IsDraining());
}

}  // namespace
}  // namespace jackdawrack
