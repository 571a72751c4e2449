#include "policy/query_merge.h"

#include <catch2/catch.hpp>

namespace jackdawrack {
namespace {

TEST_CASE("rows of another index version are never merged") {
  QueryMerge merge({kWholeKeySpace}, 7);
  REQUIRE_FALSE(merge.Accept(KeyRange{0, 10}, 6, {"old"}));
  REQUIRE(merge.Rows().empty());
}

TEST_CASE("repeated and overlapping ranges are dropped") {
  QueryMerge merge({kWholeKeySpace}, 7);
  REQUIRE(merge.Accept(KeyRange{0, 10}, 7, {"a"}));
  REQUIRE_FALSE(merge.Accept(KeyRange{0, 10}, 7, {"a"}));
  REQUIRE_FALSE(merge.Accept(KeyRange{5, 15}, 7, {"b"}));
  REQUIRE(merge.Rows() == std::vector<std::string>{"a"});
}

TEST_CASE("missing ranges have the last reason recorded for them") {
  QueryMerge merge({KeyRange{0, 30}}, 7);
  merge.RecordMiss(KeyRange{0, 20}, MissReason::kUnreachable);
  merge.RecordMiss(KeyRange{10, 20}, MissReason::kOverloaded);
  REQUIRE(merge.MissingRanges() ==
          std::vector<MissingRange>{{KeyRange{0, 10}, MissReason::kUnreachable},
                                    {KeyRange{10, 20}, MissReason::kOverloaded},
                                    {KeyRange{20, 30}, MissReason::kTimeout}});
}

TEST_CASE("coverage is the covered fraction of the wanted keys") {
  QueryMerge merge({KeyRange{0, 40}}, 1);
  merge.Accept(KeyRange{10, 20}, 1, {});
  REQUIRE(merge.Coverage() == Approx(0.25));
  merge.Restart(2);
  REQUIRE(merge.Coverage() == Approx(0.0));
}

}  // namespace
}  // namespace jackdawrack
