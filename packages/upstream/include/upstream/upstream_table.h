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

/// The connection pools of all upstreams that this instance uses.
class UpstreamTable final {
 public:
  /// `context` and `metrics` must outlive this object.
  UpstreamTable(boost::asio::io_context& context,
                QueryPolicySettings settings,
                MetricsRegistry& metrics);

  /// Returns the pool of an upstream. The pool is created on first use and
  /// replaced when the published data of the upstream have changed.
  std::shared_ptr<UpstreamPool> GetOrCreatePool(const Upstream& upstream);

  /// Fails the queued requests of upstreams that are no longer published as
  /// live, removes their pools once idle, and sends due health probes to the
  /// others. Called at a fixed interval, which bounds the delay until a
  /// published change takes effect.
  void Reconcile(const FleetState& state);

 private:
  boost::asio::io_context& m_context;
  const QueryPolicySettings m_settings;
  UpstreamCounters m_counters;
  RankedMutex m_mutex{LockRank::kUpstreamTable};
  std::unordered_map<UpstreamId, std::shared_ptr<UpstreamPool>> m_pools;
};

}  // namespace jackdawrack
