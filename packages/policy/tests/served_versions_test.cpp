#include "policy/served_versions.h"

#include <catch2/catch.hpp>

namespace jackdawrack {
namespace {

// A map of two shards with published versions 8 and 7.
CollectionMap MakeMap() {
  std::vector<IniProblem> problems;
  CollectionMap map = CollectionMap::Parse(
      "map",
      "[collection]\nname = data\nrevision = 1\nindex_version = 8\n"
      "previous_index_version = 7\n"
      "[upstream u]\naddress = 127.0.0.1:1\nfailure_domain = east\n"
      "slots = 1\nconnections = 3\n"
      "[shard a]\nbegin = 0\nend = 100\nreplicas = u\n"
      "[shard b]\nbegin = 100\nend = 4294967296\nreplicas = u\n",
      problems);
  REQUIRE(problems.empty());
  return map;
}

TEST_CASE("the published version is chosen without reports") {
  const ManualClock clock;
  REQUIRE(ServedVersions().ChooseVersion(MakeMap(), {kWholeKeySpace},
                                         clock.Now()) == 8);
}

TEST_CASE("an outdated shard holds back only the queries that need it") {
  const ManualClock clock;
  ServedVersions served;
  served.Report(KeyRange{0, 100}, {6, 7}, clock.Now());
  REQUIRE(served.ChooseVersion(MakeMap(), {kWholeKeySpace}, clock.Now()) == 7);
  REQUIRE(served.ChooseVersion(MakeMap(), {KeyRange{200, 300}}, clock.Now()) ==
          8);
}

TEST_CASE("an unpublished version is chosen once every shard reports it") {
  const ManualClock clock;
  ServedVersions served;
  served.Report(KeyRange{0, 100}, {8, 9}, clock.Now());
  REQUIRE(served.ChooseVersion(MakeMap(), {kWholeKeySpace}, clock.Now()) == 8);
  served.Report(KeyRange{100, kKeySpaceEnd}, {8, 9}, clock.Now());
  REQUIRE(served.ChooseVersion(MakeMap(), {kWholeKeySpace}, clock.Now()) == 9);
}

TEST_CASE("expired and replaced reports are ignored") {
  ManualClock clock;
  ServedVersions served;
  served.Report(KeyRange{0, 100}, {6, 7}, clock.Now());
  clock.Advance(ServedVersions::kReportLifetime + Milliseconds(1));
  REQUIRE(served.ChooseVersion(MakeMap(), {kWholeKeySpace}, clock.Now()) == 8);
  served.Report(KeyRange{0, 100}, {6, 7}, clock.Now());
  served.Report(KeyRange{0, 50}, {}, clock.Now());
  REQUIRE(served.ChooseVersion(MakeMap(), {kWholeKeySpace}, clock.Now()) == 8);
}

}  // namespace
}  // namespace jackdawrack
