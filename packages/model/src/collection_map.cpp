#include "model/collection_map.h"

#include <fmt/format.h>

#include <algorithm>
#include <unordered_map>

#include "core/check.h"

namespace jackdawrack {
namespace {

constexpr std::uint64_t kMaxSlots = 10'000;
constexpr std::uint64_t kMaxConnections = 100'000;
constexpr std::uint64_t kMaxConnectCostMs = 10'000;
constexpr std::uint64_t kMaxShardsPerBlock = 10'000;

using UpstreamPositions = std::unordered_map<std::string, std::uint32_t>;

Upstream ReadUpstream(const std::string& file,
                      const IniSection& section,
                      std::vector<IniProblem>& problems) {
  IniSectionReader reader(file, section, problems);
  Upstream upstream;
  upstream.m_id = UpstreamId(section.m_name);
  const std::string address = reader.Text("address");
  if (const auto endpoint = Endpoint::Parse(address)) {
    upstream.m_endpoint = *endpoint;
  } else {
    reader.Refuse("address", "accepted is IP:PORT");
  }
  upstream.m_domain = FailureDomain(reader.Text("failure_domain"));
  upstream.m_slots = static_cast<std::uint32_t>(
      reader.Number("slots", NumberBounds{1, kMaxSlots}));
  upstream.m_connection_limit = static_cast<std::uint32_t>(
      reader.Number("connections", NumberBounds{1, kMaxConnections}));
  upstream.m_connect_cost_ms = static_cast<std::uint32_t>(
      reader.Number("connect_cost_ms", NumberBounds{0, kMaxConnectCostMs}, 0));
  const std::string state = reader.Text("state", "live");
  if (state != "live" && state != "leaving") {
    reader.Refuse("state", "accepted is live or leaving");
  }
  upstream.m_state =
      state == "leaving" ? UpstreamState::kLeaving : UpstreamState::kLive;
  reader.RefuseUnknownKeys();
  return upstream;
}

Shard ReadShard(const std::string& file,
                const IniSection& section,
                const UpstreamPositions& positions,
                std::vector<IniProblem>& problems) {
  IniSectionReader reader(file, section, problems);
  Shard shard;
  shard.m_name = section.m_name;
  shard.m_range.m_begin =
      reader.Number("begin", NumberBounds{0, kKeySpaceEnd - 1});
  shard.m_range.m_end = reader.Number("end", NumberBounds{1, kKeySpaceEnd});
  const std::vector<std::string> replicas = reader.Words("replicas");
  if (replicas.empty()) {
    reader.Refuse("replicas", "missing; accepted are names of upstreams");
  }
  for (const std::string& replica : replicas) {
    const auto found = positions.find(replica);
    if (found == positions.end()) {
      reader.Refuse("replicas", fmt::format("no upstream '{}'", replica));
      continue;
    }
    shard.m_replicas.push_back(found->second);
  }
  reader.RefuseUnknownKeys();
  return shard;
}

// Reports gaps and overlaps between shards sorted by key.
void CheckTiling(const std::string& file,
                 const std::vector<Shard>& shards,
                 std::vector<IniProblem>& problems) {
  std::uint64_t expected = 0;
  for (const Shard& shard : shards) {
    const std::string heading = "shard " + shard.m_name;
    if (shard.m_range.m_begin != expected || !shard.m_range.IsValid()) {
      problems.push_back(IniProblem{
          file, heading, "begin",
          fmt::format("shards have to tile the key space; expected {}",
                      expected)});
      return;
    }
    expected = shard.m_range.m_end;
  }
  if (expected != kKeySpaceEnd) {
    problems.push_back(
        IniProblem{file, "shard", "end",
                   fmt::format("the last shard has to end at {}; it ends at {}",
                               kKeySpaceEnd, expected)});
  }
}

}  // namespace

CollectionMap CollectionMap::Parse(const std::string& file,
                                   const std::string& text,
                                   std::vector<IniProblem>& problems) {
  const IniDocument document = IniDocument::Parse(file, text, problems);
  document.RefuseUnknownSections({"collection", "upstream", "shard"}, problems);
  document.CheckNames({"upstream", "shard"}, problems);

  // Read the collection's own section
  CollectionMap map;
  const IniSection& head = document.Require("collection", problems);
  IniSectionReader reader(file, head, problems);
  map.m_name = CollectionName(reader.Text("name"));
  map.m_revision = reader.Number("revision", NumberBounds{1, UINT64_MAX});
  map.m_index_version =
      reader.Number("index_version", NumberBounds{1, UINT64_MAX});
  map.m_previous_index_version =
      reader.Number("previous_index_version", NumberBounds{}, 0);
  map.m_shards_per_block =
      reader.Number("shards_per_block", NumberBounds{1, kMaxShardsPerBlock}, 4);
  reader.RefuseUnknownKeys();

  // Read the upstreams, then the shards that name them
  UpstreamPositions positions;
  for (const IniSection* section : document.All("upstream")) {
    positions.emplace(section->m_name, map.m_upstreams.size());
    map.m_upstreams.push_back(ReadUpstream(file, *section, problems));
  }
  for (const IniSection* section : document.All("shard")) {
    map.m_shards.push_back(ReadShard(file, *section, positions, problems));
  }
  std::sort(
      map.m_shards.begin(), map.m_shards.end(),
      [](const Shard& a, const Shard& b) { return a.m_range < b.m_range; });
  CheckTiling(file, map.m_shards, problems);
  map.IndexDomains();
  return map;
}

void CollectionMap::IndexDomains() {
  for (const Upstream& upstream : m_upstreams) {
    m_domains.push_back(upstream.m_domain);
  }
  std::sort(m_domains.begin(), m_domains.end());
  m_domains.erase(std::unique(m_domains.begin(), m_domains.end()),
                  m_domains.end());
  for (const Upstream& upstream : m_upstreams) {
    const auto found =
        std::lower_bound(m_domains.begin(), m_domains.end(), upstream.m_domain);
    m_upstream_domains.push_back(
        static_cast<std::uint32_t>(found - m_domains.begin()));
  }
}

std::size_t CollectionMap::ShardAt(std::uint64_t key) const {
  JR_CHECK(key < kKeySpaceEnd);
  const auto after =
      std::upper_bound(m_shards.begin(), m_shards.end(), key,
                       [](std::uint64_t wanted, const Shard& shard) {
                         return wanted < shard.m_range.m_begin;
                       });
  JR_CHECK(after != m_shards.begin());
  return static_cast<std::size_t>(after - m_shards.begin()) - 1;
}

std::size_t CollectionMap::BlockCount() const {
  return (m_shards.size() + m_shards_per_block - 1) / m_shards_per_block;
}

}  // namespace jackdawrack
