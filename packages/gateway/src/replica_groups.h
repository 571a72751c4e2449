#pragma once

#include <list>
#include <map>
#include <unordered_map>

#include "gateway/gateway_settings.h"
#include "replica_connection_pool.h"
#include "routing/admission.h"
#include "routing/availability_table.h"
#include "routing/connection_share.h"
#include "routing/published_state.h"
#include "routing/retry_budget.h"
#include "routing/standing_queue.h"

namespace jackdawrack {

/// The replica selected for a request.
struct ReplicaPick {
  /// Null if no replica can take the request.
  std::shared_ptr<ReplicaConnectionPool> m_pool;
  /// True if a connection to the replica is free; otherwise the request has to
  /// wait for one.
  bool m_has_free_connection = false;
  /// True if the replica leaves and there is no other one.
  bool m_is_last_resort = false;

  /// The replica if the request can be sent now, otherwise null.
  [[nodiscard]] std::shared_ptr<ReplicaConnectionPool> PoolIfFree() const {
    return m_has_free_connection ? m_pool : nullptr;
  }
};

/// The replicas of one service, the service's budget for retries and hedges,
/// and the requests that wait for a connection to one of the replicas.
class ReplicaGroup final {
 public:
  /// The slack of the retry budget is not used before `slack_from`.
  ReplicaGroup(const GatewaySettings& settings, TimePoint slack_from);

  /// Selects the best replica that is not in `tried`.
  [[nodiscard]] ReplicaPick Choose(const std::vector<UpstreamId>& tried,
                                   TimePoint now);

  /// The end of the pause that ends first, if every replica that could take
  /// requests has asked for one.
  [[nodiscard]] std::optional<TimePoint> PausedUntil(TimePoint now) const;

  [[nodiscard]] RetryBudget& Budget() { return m_budget; }
  [[nodiscard]] std::vector<std::shared_ptr<ReplicaConnectionPool>>& Pools() {
    return m_pools;
  }

  /// Expected wait and latency of a request that arrives now; zero unless
  /// requests have been queued persistently.
  [[nodiscard]] ServiceLoad CurrentLoad(TimePoint now);

  /// Calls `callback` once when a connection may have become free, unless
  /// `owner` has been destroyed by then.
  void WaitForCapacity(std::weak_ptr<void> owner,
                       std::function<void()> callback);

  /// Number of requests that wait for a connection.
  [[nodiscard]] std::size_t WaitingCount() const { return m_waiters.size(); }

  /// Removes the callback of `owner`.
  void StopWaiting(const void* owner);

  /// Calls the callbacks of all waiting requests; to be called when a
  /// connection may have become free.
  void WakeWaiters();

 private:
  struct Waiter {
    std::weak_ptr<void> m_owner;
    std::function<void()> m_callback;
  };

  void UpdateCandidates(TimePoint now);

  const ReplicaChoiceSettings m_choice;
  RetryBudget m_budget;
  std::vector<std::shared_ptr<ReplicaConnectionPool>> m_pools;
  std::vector<ReplicaCandidate> m_candidates;
  std::list<Waiter> m_waiters;
  StandingQueue m_standing_queue;
  std::size_t m_rotation = 0;
};

/// All replicas that this instance may send requests to, grouped by service and
/// updated from the published state.
class ReplicaGroups final {
 public:
  /// `memory` bounds the responses of all upstreams together and outlives the
  /// object.
  ReplicaGroups(boost::asio::io_context& context,
                GatewaySettings settings,
                MemoryBudget& memory);

  /// Adds, updates and retires replicas according to the published state.
  void Update(const PublishedState& state);

  /// Sets the number of instances in each failure domain.
  void SetFleet(std::map<FailureDomain, std::size_t> instances);

  /// Sets the bound on retries and hedges, see `RetryBudgetSettings`.
  void SetRepeatBound(double ratio, double slack);

  /// The group of a service; empty if no replica of it is published.
  [[nodiscard]] ReplicaGroup& Group(const ServiceName& service);

  [[nodiscard]] const std::unordered_map<ServiceName,
                                         std::unique_ptr<ReplicaGroup>>&
  Groups() const {
    return m_groups;
  }

  /// Closes connections whose timeout has expired and removes retired replicas
  /// that have no requests in progress.
  void CloseTimedOut(TimePoint now);

  /// Number of instances that share the retry budgets.
  [[nodiscard]] std::size_t FleetSizeTotal() const;

  /// Number of connections to all published replicas.
  [[nodiscard]] std::size_t ConnectionCount() const;

 private:
  void ApplyRecord(const ReplicaRecord& record);
  void UpdateConnectionShares();
  void UpdateSubset(const ServiceName& service, ReplicaGroup& group);
  [[nodiscard]] FleetSize FleetSizeFor(const FailureDomain& domain) const;
  /// The same by region: `m_local` counts the instances in the region of
  /// `domain`.
  [[nodiscard]] FleetSize RegionFleetSizeFor(const FailureDomain& domain) const;

  boost::asio::io_context& m_context;
  GatewaySettings m_settings;
  const UpstreamResponseRules m_response_rules;
  /// Until this time the process uses no slack of the retry budgets and at most
  /// one connection to each replica in another failure domain. The previous
  /// process may have used its part of the slack, upstreams may still count its
  /// connections, and not all instances that share them may be known yet.
  const TimePoint m_startup_ends_at;
  bool m_is_startup_over = false;
  std::unordered_map<ServiceName, std::unique_ptr<ReplicaGroup>> m_groups;
  AvailabilityTable m_availability;
  std::map<UpstreamId, std::shared_ptr<ReplicaConnectionPool>> m_pools;
  std::vector<std::shared_ptr<ReplicaConnectionPool>> m_retired_pools;
  std::map<FailureDomain, std::size_t> m_instance_counts;
  RouteTablePtr m_route_table;
};

}  // namespace jackdawrack
