#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <unordered_map>

#include "core/ranked_mutex.h"
#include "model/fleet_state.h"
#include "model/query_policy_settings.h"
#include "upstream/upstream_counters.h"
#include "upstream/upstream_pool.h"

namespace jackdawrack {

/// The pools of all upstreams that this instance speaks to.
class UpstreamTable final {
 public:
  /// `metrics` has to outlive this object.
  UpstreamTable(boost::asio::io_context& context,
                QueryPolicySettings settings,
                MetricsRegistry& metrics);

  /// The pool of an upstream, made on first use and made anew when what is
  /// published of the upstream has changed.
  std::shared_ptr<UpstreamPool> PoolFor(const Upstream& upstream);

  /// Takes waiting work back from upstreams that are published as leaving or
  /// not at all, forgets their pools when idle, and probes the rest. Called at
  /// a fixed interval, which bounds how late a published leave is noticed.
  void Reconcile(const FleetState& state);

 private:
  boost::asio::io_context& m_context;
  const QueryPolicySettings m_settings;
  UpstreamCounters m_counters;
  RankedMutex m_mutex{LockRank::kUpstreamTable};
  std::unordered_map<UpstreamId, std::shared_ptr<UpstreamPool>> m_pools;
};

}  // namespace jackdawrack
