#include "upstream/upstream_table.h"

namespace jackdawrack {

UpstreamTable::UpstreamTable(boost::asio::io_context& context)
    : m_context(context) {}

std::shared_ptr<UpstreamPool> UpstreamTable::PoolFor(const Upstream& upstream) {
  const std::lock_guard lock(m_mutex);
  std::shared_ptr<UpstreamPool>& pool = m_pools[upstream.m_id];
  if (pool == nullptr || pool->Target() != upstream) {
    pool = std::make_shared<UpstreamPool>(m_context, upstream);
  }
  return pool;
}

}  // namespace jackdawrack
