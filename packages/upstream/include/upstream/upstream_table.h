#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <unordered_map>

#include "core/ranked_mutex.h"
#include "upstream/upstream_pool.h"

namespace jackdawrack {

/// The pools of all upstreams that this instance speaks to.
class UpstreamTable final {
 public:
  explicit UpstreamTable(boost::asio::io_context& context);

  /// The pool of an upstream, made on first use and made anew when what is
  /// published of the upstream has changed.
  std::shared_ptr<UpstreamPool> PoolFor(const Upstream& upstream);

 private:
  boost::asio::io_context& m_context;
  RankedMutex m_mutex{LockRank::kUpstreamTable};
  std::unordered_map<UpstreamId, std::shared_ptr<UpstreamPool>> m_pools;
};

}  // namespace jackdawrack
