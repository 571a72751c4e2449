#include "model/range_set.h"

#include <catch2/catch.hpp>

namespace jackdawrack {
namespace {

TEST_CASE("adding a range twice changes nothing") {
  RangeSet set;
  set.Add(KeyRange{10, 20});
  set.Add(KeyRange{10, 20});
  REQUIRE(set.Size() == 10);
}

TEST_CASE("overlapping and touching ranges become one") {
  const RangeSet set({KeyRange{0, 10}, KeyRange{20, 30}, KeyRange{10, 25}});
  REQUIRE(set.Ranges() == std::vector<KeyRange>{{0, 30}});
}

TEST_CASE("missing parts are the complement within a range") {
  const RangeSet set({KeyRange{10, 20}, KeyRange{30, 40}});
  REQUIRE(set.MissingFrom(KeyRange{0, 50}) ==
          std::vector<KeyRange>{{0, 10}, {20, 30}, {40, 50}});
}

TEST_CASE("removing the middle leaves both ends") {
  RangeSet set({KeyRange{0, 30}});
  set.Remove(KeyRange{10, 20});
  REQUIRE(set.Ranges() == std::vector<KeyRange>{{0, 10}, {20, 30}});
}

}  // namespace
}  // namespace jackdawrack
