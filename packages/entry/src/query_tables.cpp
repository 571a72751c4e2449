#include "query_tables.h"

#include <mutex>

namespace jackdawrack {
namespace {

constexpr double kHedgeBurst = 20;
constexpr double kRetryBurst = 20;
/// Part of the hedge share that the learned delay uses up in a usual time; the
/// rest is left for stragglers.
constexpr double kUsualHedgePart = 0.5;
constexpr double kLeastSamples = 50;
/// Part of the deadline after which an answer is late while too little was seen
/// to know better.
constexpr int kUnlearnedDelayDivisor = 4;
constexpr Milliseconds kLeastHedgeDelay{2};
constexpr Milliseconds kEvaluationInterval{100};

}  // namespace

QueryTables::QueryTables(QueryPolicySettings settings, MetricsRegistry& metrics)
    : m_settings(settings),
      m_primaries(metrics.CounterFor("jackdawrack_primary_requests")),
      m_hedges(metrics.CounterFor("jackdawrack_hedges")),
      m_hedge_wins(metrics.CounterFor("jackdawrack_hedge_wins")),
      m_retries(metrics.CounterFor("jackdawrack_retries")),
      m_retries_refused(metrics.CounterFor("jackdawrack_retries_refused")),
      m_cancels(metrics.CounterFor("jackdawrack_cancellations")),
      m_late_replies(metrics.CounterFor("jackdawrack_late_replies")),
      m_ejections(metrics.CounterFor("jackdawrack_slow_ejections")) {}

void QueryTables::ReportVersions(const CollectionName& collection,
                                 const RangeAnswer& answer) {
  const std::lock_guard lock(m_mutex);
  m_versions[collection].Report(answer.m_range, answer.m_served_versions,
                                SteadyClock().Now());
}

std::uint64_t QueryTables::ChooseVersion(
    const CollectionMap& collection,
    const std::vector<KeyRange>& wanted) const {
  const std::lock_guard lock(m_mutex);
  const auto found = m_versions.find(collection.Name());
  return found == m_versions.end()
             ? collection.IndexVersion()
             : found->second.ChooseVersion(collection, wanted,
                                           SteadyClock().Now());
}

void QueryTables::EarnBudgets(const Contract& contract, std::size_t shards) {
  m_primaries.Add(shards);
  const std::lock_guard lock(m_mutex);
  Budgets& budgets = BudgetsOf(contract);
  budgets.m_hedges.Earn(shards, contract.HedgeShare());
  budgets.m_retries.Earn(shards, contract.RetryShare());
}

bool QueryTables::TakeHedge(const Contract& contract) {
  const std::lock_guard lock(m_mutex);
  if (!BudgetsOf(contract).m_hedges.TrySpend()) {
    return false;
  }
  m_hedges.Add();
  return true;
}

bool QueryTables::TakeRetry(const Contract& contract) {
  const std::lock_guard lock(m_mutex);
  if (m_settings.m_retry_budget && !BudgetsOf(contract).m_retries.TrySpend()) {
    m_retries_refused.Add();
    return false;
  }
  m_retries.Add();
  return true;
}

void QueryTables::RecordLatency(const CollectionName& collection,
                                const ReplicaKey& replica,
                                Duration latency) {
  const std::lock_guard lock(m_mutex);
  m_latencies[Group{collection, replica.m_domain}].Record(latency,
                                                          SteadyClock().Now());
  m_avoid[collection].m_slow.Record(replica, latency);
  m_avoid[collection].m_refusing.RecordSuccess(replica);
}

void QueryTables::RecordLate(const CollectionName& collection,
                             const ReplicaKey& replica,
                             Duration waited) {
  const std::lock_guard lock(m_mutex);
  AvoidTable& table = m_avoid[collection];
  table.m_slow.RecordUnanswered(replica, waited);
  table.m_next_evaluation = SteadyClock().Now();
}

void QueryTables::RecordRefusal(const CollectionName& collection,
                                const ReplicaKey& replica) {
  const std::lock_guard lock(m_mutex);
  m_avoid[collection].m_refusing.RecordRefusal(replica, SteadyClock().Now());
}

ReplicaSet QueryTables::ReplicasToAvoid(const CollectionName& collection) {
  const TimePoint now = SteadyClock().Now();
  const std::lock_guard lock(m_mutex);
  AvoidTable& table = m_avoid[collection];
  ReplicaSet avoided;
  if (m_settings.m_slow_ejection) {
    if (now >= table.m_next_evaluation) {
      table.m_next_evaluation = now + kEvaluationInterval;
      m_ejections.Add(table.m_slow.Evaluate(now));
    }
    avoided = table.m_slow.ReplicasToAvoid();
  }
  if (m_settings.m_refusal_pause) {
    table.m_refusing.AddReplicasToAvoid(avoided, now);
  }
  return avoided;
}

ReplicaSet QueryTables::ReplicasOnTrial(
    const CollectionName& collection) const {
  const std::lock_guard lock(m_mutex);
  const auto table = m_avoid.find(collection);
  const bool is_ejecting = m_settings.m_slow_ejection && table != m_avoid.end();
  return is_ejecting ? table->second.m_slow.ReplicasOnTrial() : ReplicaSet();
}

std::optional<Duration> QueryTables::HedgeDelay(
    const Contract& contract,
    const CollectionName& collection,
    const FailureDomain& domain) const {
  if (!m_settings.m_hedging || contract.HedgeShare() <= 0) {
    return std::nullopt;
  }
  const std::lock_guard lock(m_mutex);
  const Duration unlearned =
      Milliseconds(contract.DeadlineMs()) / kUnlearnedDelayDivisor;
  const auto found = m_latencies.find(Group{collection, domain});
  if (found == m_latencies.end()) {
    return unlearned;
  }
  const double quantile = 1 - contract.HedgeShare() * kUsualHedgePart;
  const auto delay = found->second.Quantile(quantile, kLeastSamples);
  if (!delay) {
    return unlearned;
  }
  return std::max<Duration>(*delay, kLeastHedgeDelay);
}

QueryTables::Budgets& QueryTables::BudgetsOf(const Contract& contract) {
  return m_budgets
      .try_emplace(contract.Name(),
                   Budgets{ExtraRequestBudget(kHedgeBurst, kHedgeBurst),
                           ExtraRequestBudget(kRetryBurst, kRetryBurst)})
      .first->second;
}

}  // namespace jackdawrack
