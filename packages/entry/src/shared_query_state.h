#pragma once

#include <map>
#include <optional>

#include "core/metrics.h"
#include "model/collection_map.h"
#include "model/contract.h"
#include "model/query_policy_settings.h"
#include "peer/messages.h"
#include "policy/decaying_latency_histogram.h"
#include "policy/extra_request_budget.h"
#include "policy/refusing_replicas.h"
#include "policy/served_versions.h"
#include "policy/slow_replicas.h"

namespace jackdawrack {

/// State shared by all queries of the entry role: served index versions,
/// replica latencies, and the hedge and retry budgets. Thread-safe.
class SharedQueryState final {
 public:
  /// `metrics` must outlive this object.
  SharedQueryState(QueryPolicySettings settings, MetricsRegistry& metrics);

  // Index versions

  /// Records which index versions the answering replica serves.
  void ReportVersions(const CollectionName& collection,
                      const RangeAnswer& answer);
  /// Returns the newest index version that every wanted shard serves,
  /// according to its answers or to the published map.
  [[nodiscard]] std::uint64_t ChooseVersion(
      const CollectionMap& collection,
      const std::vector<KeyRange>& wanted) const;

  // Hedges and retries

  /// Adds to the hedge and retry budgets of a customer for a query to `shards`
  /// shards.
  void EarnBudgets(const Contract& contract, std::size_t shards);
  /// Spends the budget for hedging one range; false if none is left.
  [[nodiscard]] bool TrySpendHedge(const Contract& contract);
  /// Spends the budget for retrying one range; false if none is left. Always
  /// true if the retry budget is disabled in the settings.
  [[nodiscard]] bool TrySpendRetry(const Contract& contract);
  /// Counts a range that was answered first by a hedge.
  void CountHedgeWin() { m_hedge_wins.Add(); }
  void CountLateReply() { m_late_replies.Add(); }
  void CountCancel() { m_cancels.Add(); }

  // Replica latency and health

  /// Records the latency of an answer from a replica.
  void RecordLatency(const CollectionName& collection,
                     const ReplicaKey& replica,
                     Duration latency);
  /// Records that a replica did not answer within `waited`.
  void RecordUnanswered(const CollectionName& collection,
                        const ReplicaKey& replica,
                        Duration waited);
  /// Records that an overloaded replica refused a sub-query without running
  /// it.
  void RecordRefusal(const CollectionName& collection,
                     const ReplicaKey& replica);
  /// Returns the replicas that a new query avoids because they are slow or
  /// refuse sub-queries.
  [[nodiscard]] ReplicaSet ReplicasToAvoid(const CollectionName& collection);
  /// Returns the ejected slow replicas that are being tested for recovery. A
  /// query to one of them is hedged at once.
  [[nodiscard]] ReplicaSet ReplicasOnTrial(
      const CollectionName& collection) const;
  /// Returns the time after which an answer is late: the latency quantile that
  /// leaves half of the contract's hedge share unused, or a fraction of the
  /// deadline while there are too few samples. Nothing if hedging is disabled.
  [[nodiscard]] std::optional<Duration> HedgeDelay(
      const Contract& contract,
      const CollectionName& collection,
      const FailureDomain& domain) const;

  [[nodiscard]] const QueryPolicySettings& Settings() const {
    return m_settings;
  }

 private:
  struct LatencyKey {
    CollectionName m_collection;
    FailureDomain m_domain;
    friend auto operator<=>(const LatencyKey&, const LatencyKey&) = default;
  };

  struct Budgets {
    ExtraRequestBudget m_hedges;
    ExtraRequestBudget m_retries;
  };

  /// The replicas of one collection to avoid. Slow replicas are re-evaluated
  /// periodically, and on the next query after a late answer.
  struct AvoidedReplicas {
    SlowReplicas m_slow;
    RefusingReplicas m_refusing;
    TimePoint m_next_evaluation{};
  };

  Budgets& BudgetsOf(const Contract& contract);

  const QueryPolicySettings m_settings;
  Counter& m_primaries;
  Counter& m_hedges;
  Counter& m_hedge_wins;
  Counter& m_retries;
  Counter& m_retries_refused;
  Counter& m_cancels;
  Counter& m_late_replies;
  Counter& m_ejections;
  mutable RankedMutex m_mutex{LockRank::kQueryTables};
  std::map<CollectionName, ServedVersions> m_versions;
  std::map<Customer, Budgets> m_budgets;
  std::map<LatencyKey, DecayingLatencyHistogram> m_latencies;
  std::map<CollectionName, AvoidedReplicas> m_avoided_replicas;
};

}  // namespace jackdawrack
