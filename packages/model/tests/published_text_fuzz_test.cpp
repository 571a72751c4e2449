#include <catch2/catch.hpp>
#include <random>

#include "model/collection_map.h"
#include "model/contract.h"
#include "model/key_range.h"

namespace jackdawrack {
namespace {

constexpr std::uint32_t kFuzzSeed = 408;
constexpr int kFuzzRounds = 10'000;

const std::vector<std::string> kTokens = {"[",
                                          "]",
                                          "=",
                                          "\n",
                                          "[shard s-0]\n",
                                          "[kind ]\n",
                                          "-1",
                                          "0",
                                          "18446744073709551616",
                                          "nan",
                                          "inf",
                                          "1e999",
                                          " ",
                                          ";",
                                          "#",
                                          "[contract]\n",
                                          "version = 1\n",
                                          std::string(1, '\0')};

std::string Mutate(const std::string& good, std::mt19937& random) {
  std::string text = good;
  for (std::uint32_t changes = 1 + random() % 3; changes > 0; --changes) {
    const std::size_t at = random() % (text.size() + 1);
    switch (random() % 4) {
      case 0:
        text.insert(at, kTokens[random() % kTokens.size()]);
        break;
      case 1:
        text.erase(at, random() % 12);
        break;
      case 2:
        text.insert(at, 1, static_cast<char>(random()));
        break;
      default:
        text.insert(at, text.substr(random() % text.size(), 30));
        break;
    }
  }
  return text;
}

std::string GoodMap() {
  return "[collection]\nname = data\nrevision = 1\nindex_version = 7\n"
         "previous_index_version = 6\nshards_per_block = 2\n"
         "[upstream u-0]\naddress = 127.0.0.1:80\nfailure_domain = east\n"
         "slots = 2\nconnections = 25\n"
         "[shard s-0]\nbegin = 0\nend = 9\nreplicas = u-0\n"
         "[shard s-1]\nbegin = 9\nend = " +
         std::to_string(kKeySpaceEnd) + "\nreplicas = u-0\n";
}

TEST_CASE("mutated contracts are refused or have every limit") {
  INFO("seed " << kFuzzSeed);
  std::mt19937 random(kFuzzSeed);
  const std::string good =
      "[contract]\ncustomer = acme\nversion = 3\n[limits]\ndeadline_ms = 500\n"
      "rate_per_second = 100\nconcurrency = 10\n[query]\n"
      "minimum_coverage = 0.9\n[kind look]\ncollection = data\n"
      "idempotent = yes\n";
  int accepted = 0;
  for (int round = 0; round < kFuzzRounds; ++round) {
    const std::string text = Mutate(good, random);
    std::vector<IniProblem> problems;
    const Contract contract = Contract::Parse("fuzz", text, problems);
    if (!problems.empty()) {
      continue;
    }
    ++accepted;
    INFO(text);
    REQUIRE(!contract.Name().IsEmpty());
    REQUIRE(contract.Version() >= 1);
    REQUIRE(contract.DeadlineMs() >= 1);
    REQUIRE(contract.RatePerSecond() >= 1);
    REQUIRE(contract.Concurrency() >= 1);
    REQUIRE(contract.MinimumCoverage() >= 0);
    REQUIRE(contract.MinimumCoverage() <= 1);
    REQUIRE(!contract.Kinds().empty());
    REQUIRE(!contract.Kinds().front().m_name.empty());
  }
  REQUIRE(accepted > 0);
}

TEST_CASE("mutated maps are refused or place every key on a replica") {
  INFO("seed " << kFuzzSeed);
  std::mt19937 random(kFuzzSeed);
  const std::string good = GoodMap();
  int accepted = 0;
  for (int round = 0; round < kFuzzRounds; ++round) {
    const std::string text = Mutate(good, random);
    std::vector<IniProblem> problems;
    const CollectionMap map = CollectionMap::Parse("fuzz", text, problems);
    if (!problems.empty()) {
      continue;
    }
    ++accepted;
    INFO(text);
    REQUIRE(!map.Name().IsEmpty());
    for (const std::uint64_t key :
         {std::uint64_t{0}, kKeySpaceEnd / 2, kKeySpaceEnd - 1}) {
      const Shard& shard = map.Shards().at(map.ShardAt(key));
      REQUIRE(shard.m_range.m_begin <= key);
      REQUIRE(shard.m_range.m_end > key);
      REQUIRE(!shard.m_replicas.empty());
      REQUIRE(shard.m_replicas.front() < map.Upstreams().size());
    }
  }
  REQUIRE(accepted > 0);
}

}  // namespace
}  // namespace jackdawrack
