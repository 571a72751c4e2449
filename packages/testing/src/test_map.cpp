#include "testing/test_map.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "core/check.h"
#include "model/key_range.h"

namespace jackdawrack {

TestMap::TestMap(const TestMapSettings& settings,
                 const std::vector<std::string>& domains,
                 std::uint16_t first_port)
    : m_shards_per_block(settings.m_shards_per_block) {
  std::uint16_t port = first_port;
  for (std::size_t s = 0; s < settings.m_shards; ++s) {
    TestShard shard;
    shard.m_name = fmt::format("s-{}", s);
    shard.m_begin = s * kKeySpaceEnd / settings.m_shards;
    shard.m_end = (s + 1) * kKeySpaceEnd / settings.m_shards;
    for (std::size_t r = 0; r < settings.m_replicas; ++r) {
      Upstream upstream;
      upstream.m_id = UpstreamId(fmt::format("u-{}-{}", s, r));
      upstream.m_endpoint = Endpoint{"127.0.0.1", port++};
      upstream.m_domain = FailureDomain(domains[(s + r) % domains.size()]);
      upstream.m_slots = settings.m_slots;
      upstream.m_connection_limit = settings.m_connections;
      upstream.m_connect_cost_ms = settings.m_connect_cost_ms;
      shard.m_replicas.push_back(upstream.m_id.Text());
      m_upstreams.push_back(upstream);
    }
    m_shards.push_back(shard);
  }
}

std::string TestMap::ToText() const {
  std::string text = fmt::format(
      "[collection]\nname = data\nrevision = {}\nindex_version = {}\n"
      "previous_index_version = {}\nshards_per_block = {}\n",
      m_revision, m_index_version, m_previous_index_version,
      m_shards_per_block);
  for (const Upstream& upstream : m_upstreams) {
    text += fmt::format(
        "\n[upstream {}]\naddress = {}\nfailure_domain = {}\nslots = {}\n"
        "connections = {}\nconnect_cost_ms = {}\nstate = {}\n",
        upstream.m_id.Text(), upstream.m_endpoint.ToText(),
        upstream.m_domain.Text(), upstream.m_slots, upstream.m_connection_limit,
        upstream.m_connect_cost_ms,
        upstream.m_state == UpstreamState::kLive ? "live" : "leaving");
  }
  for (const TestShard& shard : m_shards) {
    text += fmt::format("\n[shard {}]\nbegin = {}\nend = {}\nreplicas = {}\n",
                        shard.m_name, shard.m_begin, shard.m_end,
                        fmt::join(shard.m_replicas, " "));
  }
  return text;
}

Upstream& TestMap::Find(const std::string& upstream) {
  for (Upstream& candidate : m_upstreams) {
    if (candidate.m_id.Text() == upstream) {
      return candidate;
    }
  }
  JR_CHECK(false);
  return m_upstreams.front();
}

}  // namespace jackdawrack
