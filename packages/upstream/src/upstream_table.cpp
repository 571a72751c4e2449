#include "upstream/upstream_table.h"

#include <unordered_set>

#include "upstream/http_upstream_adapter.h"

namespace jackdawrack {
namespace {

std::unordered_set<UpstreamId> LiveUpstreams(const FleetState& state) {
  std::unordered_set<UpstreamId> live;
  for (const auto& [name, collection] : state.m_collections) {
    for (const Upstream& upstream : collection->Upstreams()) {
      if (upstream.m_state == UpstreamState::kLive) {
        live.insert(upstream.m_id);
      }
    }
  }
  return live;
}

bool IsIdle(const UpstreamPool& pool) {
  const UpstreamLoad load = pool.Load();
  return load.m_running == 0 && load.m_queued == 0;
}

}  // namespace

UpstreamTable::UpstreamTable(boost::asio::io_context& context,
                             QueryPolicySettings settings,
                             MetricsRegistry& metrics)
    : m_context(context), m_settings(settings), m_counters(metrics) {}

std::shared_ptr<UpstreamPool> UpstreamTable::GetOrCreatePool(
    const Upstream& upstream) {
  const std::lock_guard lock(m_mutex);
  std::shared_ptr<UpstreamPool>& pool = m_pools[upstream.m_id];
  if (pool != nullptr && pool->Target() == upstream) {
    return pool;
  }
  const bool was_draining = pool != nullptr && pool->Load().m_is_draining;
  pool = std::make_shared<UpstreamPool>(m_context, upstream, m_settings,
                                        m_counters);
  if (was_draining) {
    pool->MarkDraining();
  }
  return pool;
}

void UpstreamTable::Reconcile(const FleetState& state) {
  const std::unordered_set<UpstreamId> live = LiveUpstreams(state);
  const std::lock_guard lock(m_mutex);
  for (auto entry = m_pools.begin(); entry != m_pools.end();) {
    const std::shared_ptr<UpstreamPool>& pool = entry->second;
    if (live.count(entry->first) != 0) {
      pool->Probe(HttpUpstreamAdapter::EncodeProbe());
      ++entry;
      continue;
    }
    pool->DrainQueue();
    entry = IsIdle(*pool) ? m_pools.erase(entry) : std::next(entry);
  }
}

}  // namespace jackdawrack
