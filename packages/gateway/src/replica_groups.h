#pragma once

#include <list>
#include <map>
#include <unordered_map>

#include "gateway/gateway_settings.h"
#include "replica_pool.h"
#include "routing/admission.h"
#include "routing/connection_share.h"
#include "routing/published_state.h"
#include "routing/retry_budget.h"
#include "routing/standing_queue.h"

namespace jackdawrack {

/// The replica that a request should go to.
struct ReplicaPick {
  /// Null if there is none.
  std::shared_ptr<ReplicaPool> m_pool;
  /// A connection to it is free; otherwise the request waits for one.
  bool m_is_free = false;

  /// The replica if a request can be sent now, or null.
  [[nodiscard]] std::shared_ptr<ReplicaPool> Free() const {
    return m_is_free ? m_pool : nullptr;
  }
};

/// The replicas of one service, its budget of repeats, and who waits for a
/// connection to one of them.
class ReplicaGroup final {
 public:
  /// No repeat draws on the fleet's slack before `slack_from`.
  ReplicaGroup(const GatewaySettings& settings, TimePoint slack_from);

  /// The best replica that is not in `tried`.
  [[nodiscard]] ReplicaPick Choose(const std::vector<UpstreamId>& tried,
                                   TimePoint now);

  [[nodiscard]] RetryBudget& Budget() { return m_budget; }
  [[nodiscard]] std::vector<std::shared_ptr<ReplicaPool>>& Pools() {
    return m_pools;
  }

  /// How long a request that arrives now is expected to take; no load unless
  /// a queue stands.
  [[nodiscard]] ServiceLoad Load(TimePoint now);

  /// Calls `retry` once when a connection may have become free; it is dropped
  /// with `owner`.
  void WaitForCapacity(std::weak_ptr<void> owner, std::function<void()> retry);

  /// Requests that wait for a connection.
  [[nodiscard]] std::size_t WaitingCount() const { return m_waiters.size(); }

  /// `owner` does not wait any more.
  void StopWaiting(const void* owner);

  /// Wakes the requests that wait.
  void OnCapacity();

 private:
  struct Waiter {
    std::weak_ptr<void> m_owner;
    std::function<void()> m_retry;
  };

  void UpdateCandidates(TimePoint now);

  const ReplicaChoiceSettings m_choice;
  RetryBudget m_budget;
  std::vector<std::shared_ptr<ReplicaPool>> m_pools;
  std::vector<ReplicaCandidate> m_candidates;
  std::list<Waiter> m_waiters;
  StandingQueue m_queue;
  std::size_t m_rotation = 0;
};

/// All replicas that this instance may send to, by service; follows the
/// published state.
class ReplicaGroups final {
 public:
  ReplicaGroups(boost::asio::io_context& context, GatewaySettings settings);

  /// Takes what is published now.
  void Follow(const PublishedState& state);

  /// Takes how many instances there are, by failure domain.
  void SetFleet(std::map<FailureDomain, std::size_t> instances);

  /// Takes another bound on repeats.
  void SetRepeatBound(double ratio, double slack);

  /// The group of a service; an empty one if nothing is published of it.
  [[nodiscard]] ReplicaGroup& Group(const ServiceName& service);

  /// All groups by service.
  [[nodiscard]] const std::unordered_map<ServiceName,
                                         std::unique_ptr<ReplicaGroup>>&
  Groups() const {
    return m_groups;
  }

  /// Closes overdue connections and forgets retired replicas that are quiet.
  void CloseOverdue(TimePoint now);

  /// Instances that share the budgets.
  [[nodiscard]] std::size_t FleetSizeTotal() const;

  /// Open connections to all replicas.
  [[nodiscard]] std::size_t ConnectionCount() const;

 private:
  void Place(const ReplicaRecord& record);
  void SetShares();
  [[nodiscard]] FleetSize FleetAround(const FailureDomain& domain) const;

  boost::asio::io_context& m_context;
  GatewaySettings m_settings;
  /// Until then this process draws on no slack and holds few connections
  /// elsewhere: upstreams may still count those of its predecessor, which may
  /// have used the slack, and it may not know all who share them.
  const TimePoint m_settled_at;
  bool m_is_settled = false;
  std::unordered_map<ServiceName, std::unique_ptr<ReplicaGroup>> m_groups;
  std::map<UpstreamId, std::shared_ptr<ReplicaPool>> m_pools;
  std::vector<std::shared_ptr<ReplicaPool>> m_retired;
  std::map<FailureDomain, std::size_t> m_instances;
  RouteTablePtr m_table;
};

}  // namespace jackdawrack
