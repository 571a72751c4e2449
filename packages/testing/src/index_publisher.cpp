#include "testing/index_publisher.h"

#include <fmt/format.h>

namespace jackdawrack {
namespace {

using Shards = std::vector<TestMap::TestShard>;

constexpr std::size_t kFewestShards = 3;
constexpr std::size_t kMostShards = 24;

void Split(Shards& shards, std::size_t at, std::uint64_t revision) {
  TestMap::TestShard upper = shards[at];
  const std::uint64_t middle =
      shards[at].m_begin + (shards[at].m_end - shards[at].m_begin) / 2;
  upper.m_name = fmt::format("s-split-{}", revision);
  upper.m_begin = middle;
  shards[at].m_end = middle;
  shards.insert(shards.begin() + static_cast<std::ptrdiff_t>(at) + 1, upper);
}

void MergeWithNext(Shards& shards, std::size_t at) {
  if (at + 1 < shards.size()) {
    shards[at].m_end = shards[at + 1].m_end;
    shards.erase(shards.begin() + static_cast<std::ptrdiff_t>(at) + 1);
  }
}

}  // namespace

void PublishNextIndexVersion(TestFleet& fleet) {
  TestMap& map = fleet.Map();
  map.m_previous_index_version = map.m_index_version++;
  for (const Upstream& upstream : map.m_upstreams) {
    fleet.SetUpstream(
        upstream.m_id.Text(),
        fmt::format(R"({{"versions": [{}, {}]}})", map.m_previous_index_version,
                    map.m_index_version));
  }
  ++map.m_revision;
  fleet.PublishMap();
}

void PublishRepartition(TestFleet& fleet, std::mt19937_64& random) {
  TestMap& map = fleet.Map();
  ++map.m_revision;
  Shards& shards = map.m_shards;
  const std::size_t at = random() % shards.size();
  const std::uint64_t change = random() % 3;
  if (change == 0 && shards.size() < kMostShards) {
    Split(shards, at, map.m_revision);
  } else if (change == 1 && shards.size() > kFewestShards) {
    MergeWithNext(shards, at);
  } else {
    shards[at].m_replicas = shards[random() % shards.size()].m_replicas;
  }
  fleet.PublishMap();
}

}  // namespace jackdawrack
