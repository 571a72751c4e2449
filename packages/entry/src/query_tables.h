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

/// What an entry remembers between queries: served index versions, usual
/// latencies and budgets. Methods may be called from any thread.
class QueryTables final {
 public:
  /// `metrics` has to outlive this object.
  QueryTables(QueryPolicySettings settings, MetricsRegistry& metrics);

  // Snapshot

  /// Notes what the answering replica serves.
  void ReportVersions(const CollectionName& collection,
                      const RangeAnswer& answer);
  /// Newest version that every needed shard is known or published to serve.
  [[nodiscard]] std::uint64_t ChooseVersion(
      const CollectionMap& collection,
      const std::vector<KeyRange>& wanted) const;

  // Hedges and retries

  /// Earns both budgets of a customer for first requests to `shards` shards.
  void EarnBudgets(const Contract& contract, std::size_t shards);
  /// Takes the budget of one hedged range; false if there is none left.
  [[nodiscard]] bool TakeHedge(const Contract& contract);
  /// Takes the budget of one retried range; false if there is none left.
  [[nodiscard]] bool TakeRetry(const Contract& contract);
  /// Counts a range that came first from a hedge.
  void CountHedgeWin() { m_hedge_wins.Add(); }
  void CountLateReply() { m_late_replies.Add(); }
  void CountCancel() { m_cancels.Add(); }

  // Latency

  /// Notes the latency of an answer from a replica.
  void RecordLatency(const CollectionName& collection,
                     const ReplicaKey& replica,
                     Duration latency);
  /// Notes that no answer came from a replica for `waited`.
  void RecordLate(const CollectionName& collection,
                  const ReplicaKey& replica,
                  Duration waited);
  /// Notes that a replica refused without running.
  void RecordRefusal(const CollectionName& collection,
                     const ReplicaKey& replica);
  /// Replicas that a new query avoids because they are slow or refuse.
  [[nodiscard]] ReplicaSet ReplicasToAvoid(const CollectionName& collection);
  /// Replicas that are tried again: ask another one too.
  [[nodiscard]] ReplicaSet ReplicasOnTrial(
      const CollectionName& collection) const;
  /// Time after which an answer counts as late: the quantile that leaves half
  /// of the contract's hedge share unused, or a part of the deadline while too
  /// little was seen. Nothing while hedging is off.
  [[nodiscard]] std::optional<Duration> HedgeDelay(
      const Contract& contract,
      const CollectionName& collection,
      const FailureDomain& domain) const;

  [[nodiscard]] const QueryPolicySettings& Settings() const {
    return m_settings;
  }

 private:
  struct Group {
    CollectionName m_collection;
    FailureDomain m_domain;
    friend auto operator<=>(const Group&, const Group&) = default;
  };

  struct Budgets {
    ExtraRequestBudget m_hedges;
    ExtraRequestBudget m_retries;
  };

  /// The replicas to avoid of one collection; the slow ones are judged at an
  /// interval.
  struct AvoidTable {
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
  std::map<Group, DecayingLatencyHistogram> m_latencies;
  std::map<CollectionName, AvoidTable> m_avoid;
};

}  // namespace jackdawrack
