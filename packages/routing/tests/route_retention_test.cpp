#include "routing/route_retention.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace jackdawrack {
namespace {

RoutingConfig MakeConfig(int first, int count) {
  RoutingConfig config;
  config.m_routes.resize(static_cast<std::size_t>(count));
  for (int index = 0; index < count; ++index) {
    config.m_routes[static_cast<std::size_t>(index)].m_name =
        "route-" + std::to_string(first + index);
  }
  return config;
}

TEST_CASE("a route is forgotten when it has not been named for a while") {
  ManualClock clock;
  RouteRetention retention;
  retention.Update(MakeConfig(0, 2), clock.Now());
  clock.Advance(std::chrono::hours(1));
  REQUIRE(retention.TakeForgotten(clock.Now()).empty());

  retention.Update(MakeConfig(1, 2), clock.Now());
  clock.Advance(RouteRetention::kRetention - Milliseconds(1));
  REQUIRE(retention.TakeForgotten(clock.Now()).empty());
  clock.Advance(Milliseconds(1));
  REQUIRE(retention.TakeForgotten(clock.Now()) ==
          std::vector<std::string>{"route-0"});
  REQUIRE(retention.TakeForgotten(clock.Now()).empty());
  REQUIRE(retention.Size() == 2);
}

TEST_CASE("a route that is added again in time is kept") {
  ManualClock clock;
  RouteRetention retention;
  retention.Update(MakeConfig(0, 1), clock.Now());
  retention.Update(MakeConfig(1, 1), clock.Now());
  clock.Advance(std::chrono::minutes(9));
  retention.Update(MakeConfig(0, 1), clock.Now());
  clock.Advance(std::chrono::minutes(5));
  const auto forgotten = retention.TakeForgotten(clock.Now());
  REQUIRE(std::find(forgotten.begin(), forgotten.end(), "route-0") ==
          forgotten.end());
}

TEST_CASE("100,000 route names that come and go stay within a bound") {
  // A configuration of 100 new routes each minute
  constexpr int kRoutes = 100;
  constexpr std::size_t kBound =
      kRoutes * (RouteRetention::kRetention / std::chrono::minutes(1) + 2);
  ManualClock clock;
  RouteRetention retention;
  std::size_t forgotten = 0;
  for (int version = 0; version < 1'000; ++version) {
    retention.Update(MakeConfig(version * kRoutes, kRoutes), clock.Now());
    forgotten += retention.TakeForgotten(clock.Now()).size();
    REQUIRE(retention.Size() <= kBound);
    clock.Advance(std::chrono::minutes(1));
  }
  REQUIRE(forgotten + retention.Size() == 100'000);
}

}  // namespace
}  // namespace jackdawrack
