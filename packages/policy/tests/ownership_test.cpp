#include "policy/ownership.h"

#include <fmt/format.h>

#include <catch2/catch.hpp>

namespace jackdawrack {
namespace {

constexpr std::size_t kInstances = 40;
constexpr std::size_t kShards = 640;
constexpr std::size_t kShardsPerBlock = 16;
constexpr std::size_t kBlocks = kShards / kShardsPerBlock;

FleetState MakeState() {
  std::string text =
      "[collection]\nname = c\nrevision = 1\nindex_version = 1\n"
      "shards_per_block = 16\n";
  std::string shards;
  for (std::size_t s = 0; s < kShards; ++s) {
    text += fmt::format(
        "[upstream u-{}]\naddress = 127.0.0.1:1\nfailure_domain = d\n"
        "slots = 1\nconnections = 1\n",
        s);
    shards += fmt::format(
        "[shard s-{}]\nbegin = {}\nend = {}\nreplicas = u-{}\n", s,
        s * kKeySpaceEnd / kShards, (s + 1) * kKeySpaceEnd / kShards, s);
  }
  std::vector<IniProblem> problems;
  auto map = std::make_shared<const CollectionMap>(
      CollectionMap::Parse("map", text + shards, problems));
  REQUIRE(problems.empty());
  FleetState state;
  state.m_collections.emplace(map->Name(), map);
  for (std::size_t i = 0; i < kInstances; ++i) {
    Instance instance;
    instance.m_id = InstanceId(fmt::format("i-{:02}", i));
    instance.m_domain = FailureDomain("d");
    state.m_instances.push_back(instance);
  }
  return state;
}

std::vector<InstanceId> OwnersIn(const FleetState& state) {
  const Ownership ownership = Ownership::Build(state);
  std::vector<InstanceId> owners;
  for (std::size_t block = 0; block < kBlocks; ++block) {
    owners.push_back(
        ownership.OwnerOf(CollectionName("c"), block, FailureDomain("d"))
            ->m_id);
  }
  return owners;
}

TEST_CASE("no instance owns more than twice the mean number of upstreams") {
  const std::vector<InstanceId> owners = OwnersIn(MakeState());
  std::map<InstanceId, std::size_t> loads;
  for (const InstanceId& owner : owners) {
    ++loads[owner];
  }
  for (const auto& [owner, blocks] : loads) {
    REQUIRE(blocks <= 2 * kBlocks / kInstances);
  }
}

TEST_CASE("a lost instance reassigns at most twice the mean load on average") {
  const FleetState state = MakeState();
  const std::vector<InstanceId> before = OwnersIn(state);
  std::size_t reassigned = 0;
  for (std::size_t lost = 0; lost < kInstances; ++lost) {
    FleetState fewer = state;
    fewer.m_instances.erase(fewer.m_instances.begin() +
                            static_cast<std::ptrdiff_t>(lost));
    const std::vector<InstanceId> after = OwnersIn(fewer);
    for (std::size_t block = 0; block < kBlocks; ++block) {
      reassigned += before[block] != after[block] ? 1 : 0;
    }
  }
  REQUIRE(reassigned <= 2 * kBlocks);
}

TEST_CASE("a leaving instance owns no blocks") {
  FleetState state = MakeState();
  state.m_instances[3].m_state = InstanceState::kLeaving;
  for (const InstanceId& owner : OwnersIn(state)) {
    REQUIRE(owner != state.m_instances[3].m_id);
  }
}

}  // namespace
}  // namespace jackdawrack
