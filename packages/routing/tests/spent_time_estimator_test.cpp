#include "routing/spent_time_estimator.h"

#include <catch2/catch.hpp>

namespace jackdawrack {
namespace {

Route MakeRoute() {
  Route route;
  route.m_name = std::string("some-route");
  route.m_timeout = Milliseconds(2'500);
  route.m_target_latency = Milliseconds(200);
  return route;
}

TEST_CASE(
    "the spent time is the difference to the deadline of the first attempt") {
  SpentTimeEstimator estimator;
  REQUIRE(estimator.Estimate(MakeRoute(), Milliseconds(2'500)) ==
          Milliseconds(0));
  REQUIRE(estimator.Estimate(MakeRoute(), Milliseconds(2'460)) ==
          Milliseconds(40));
}

TEST_CASE(
    "a deadline beyond the route's timeout does not affect other callers") {
  SpentTimeEstimator estimator;
  REQUIRE(estimator.Estimate(MakeRoute(), Milliseconds(90'000)) ==
          Milliseconds(0));
  REQUIRE(estimator.Estimate(MakeRoute(), Milliseconds(2'500)) ==
          Milliseconds(0));
}

TEST_CASE("the spent time is at most half of the target latency") {
  SpentTimeEstimator estimator;
  estimator.Estimate(MakeRoute(), Milliseconds(2'500));
  REQUIRE(estimator.Estimate(MakeRoute(), Milliseconds(300)) ==
          Milliseconds(100));
}

TEST_CASE("lowering the timeout of a route lowers the assumed first deadline") {
  SpentTimeEstimator estimator;
  Route route = MakeRoute();
  estimator.Estimate(route, Milliseconds(2'500));
  route.m_timeout = Milliseconds(1'000);
  REQUIRE(estimator.Estimate(route, Milliseconds(1'000)) == Milliseconds(0));
}

}  // namespace
}  // namespace jackdawrack
