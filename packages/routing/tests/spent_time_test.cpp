#include "routing/spent_time.h"

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

TEST_CASE("what a later attempt lacks of the first was spent before") {
  SpentTime spent;
  REQUIRE(spent.Note(MakeRoute(), Milliseconds(2'500)) == Milliseconds(0));
  REQUIRE(spent.Note(MakeRoute(), Milliseconds(2'460)) == Milliseconds(40));
}

TEST_CASE("one caller's long deadline does not hurry the others") {
  SpentTime spent;
  REQUIRE(spent.Note(MakeRoute(), Milliseconds(90'000)) == Milliseconds(0));
  REQUIRE(spent.Note(MakeRoute(), Milliseconds(2'500)) == Milliseconds(0));
}

TEST_CASE("a caller in a hurry still gets half of the target latency") {
  SpentTime spent;
  spent.Note(MakeRoute(), Milliseconds(2'500));
  REQUIRE(spent.Note(MakeRoute(), Milliseconds(300)) == Milliseconds(100));
}

TEST_CASE("a timeout that was lowered lowers what counts as a first deadline") {
  SpentTime spent;
  Route route = MakeRoute();
  spent.Note(route, Milliseconds(2'500));
  route.m_timeout = Milliseconds(1'000);
  REQUIRE(spent.Note(route, Milliseconds(1'000)) == Milliseconds(0));
}

}  // namespace
}  // namespace jackdawrack
