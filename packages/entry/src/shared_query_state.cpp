#include "shared_query_state.h"

#include <mutex>

namespace jackdawrack {
namespace {

constexpr double kHedgeBurstTokens = 20;
constexpr double kRetryBurstTokens = 20;
/// Fraction of the contract's hedge share that the measured hedge delay uses
/// under normal load; the rest is left for stragglers.
constexpr double kTypicalHedgeFraction = 0.5;
constexpr double kMinLatencySamples = 50;
/// An answer is late after the deadline divided by this number while there are
/// too few latency samples.
constexpr int kDefaultHedgeDelayDivisor = 4;
constexpr Milliseconds kMinHedgeDelay{2};
constexpr Milliseconds kEvaluationInterval{100};

}  // namespace

SharedQueryState::SharedQueryState(QueryPolicySettings settings,
                                   MetricsRegistry& metrics)
    : m_settings(settings),
      m_primaries(metrics.CounterFor("jackdawrack_primary_requests")),
      m_hedges(metrics.CounterFor("jackdawrack_hedges")),
      m_hedge_wins(metrics.CounterFor("jackdawrack_hedge_wins")),
      m_retries(metrics.CounterFor("jackdawrack_retries")),
      m_retries_refused(metrics.CounterFor("jackdawrack_retries_refused")),
      m_cancels(metrics.CounterFor("jackdawrack_cancellations")),
      m_late_replies(metrics.CounterFor("jackdawrack_late_replies")),
      m_ejections(metrics.CounterFor("jackdawrack_slow_ejections")) {}

void SharedQueryState::ReportVersions(const CollectionName& collection,
                                      const RangeAnswer& answer) {
  const std::lock_guard lock(m_mutex);
  m_versions[collection].Report(answer.m_range, answer.m_served_versions,
                                SteadyClock().Now());
}

std::uint64_t SharedQueryState::ChooseVersion(
    const CollectionMap& collection,
    const std::vector<KeyRange>& wanted) const {
  const std::lock_guard lock(m_mutex);
  const auto found = m_versions.find(collection.Name());
  return found == m_versions.end()
             ? collection.IndexVersion()
             : found->second.ChooseVersion(collection, wanted,
                                           SteadyClock().Now());
}

void SharedQueryState::EarnBudgets(const Contract& contract,
                                   std::size_t shards) {
  m_primaries.Add(shards);
  const std::lock_guard lock(m_mutex);
  Budgets& budgets = BudgetsOf(contract);
  budgets.m_hedges.Earn(shards, contract.HedgeShare());
  budgets.m_retries.Earn(shards, contract.RetryShare());
}

bool SharedQueryState::TrySpendHedge(const Contract& contract) {
  const std::lock_guard lock(m_mutex);
  if (!BudgetsOf(contract).m_hedges.TrySpend()) {
    return false;
  }
  m_hedges.Add();
  return true;
}

bool SharedQueryState::TrySpendRetry(const Contract& contract) {
  const std::lock_guard lock(m_mutex);
  if (m_settings.m_retry_budget && !BudgetsOf(contract).m_retries.TrySpend()) {
    m_retries_refused.Add();
    return false;
  }
  m_retries.Add();
  return true;
}

void SharedQueryState::RecordLatency(const CollectionName& collection,
                                     const ReplicaKey& replica,
                                     Duration latency) {
  const std::lock_guard lock(m_mutex);
  m_latencies[LatencyKey{collection, replica.m_domain}].Record(
      latency, SteadyClock().Now());
  m_avoided_replicas[collection].m_slow.Record(replica, latency);
  m_avoided_replicas[collection].m_refusing.RecordSuccess(replica);
}

void SharedQueryState::RecordUnanswered(const CollectionName& collection,
                                        const ReplicaKey& replica,
                                        Duration waited) {
  const std::lock_guard lock(m_mutex);
  AvoidedReplicas& table = m_avoided_replicas[collection];
  table.m_slow.RecordUnanswered(replica, waited);
  table.m_next_evaluation = SteadyClock().Now();
}

void SharedQueryState::RecordRefusal(const CollectionName& collection,
                                     const ReplicaKey& replica) {
  const std::lock_guard lock(m_mutex);
  m_avoided_replicas[collection].m_refusing.RecordRefusal(replica,
                                                          SteadyClock().Now());
}

ReplicaSet SharedQueryState::ReplicasToAvoid(const CollectionName& collection) {
  const TimePoint now = SteadyClock().Now();
  const std::lock_guard lock(m_mutex);
  AvoidedReplicas& table = m_avoided_replicas[collection];
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

ReplicaSet SharedQueryState::ReplicasOnTrial(
    const CollectionName& collection) const {
  const std::lock_guard lock(m_mutex);
  const auto table = m_avoided_replicas.find(collection);
  const bool is_ejecting =
      m_settings.m_slow_ejection && table != m_avoided_replicas.end();
  return is_ejecting ? table->second.m_slow.ReplicasOnTrial() : ReplicaSet();
}

std::optional<Duration> SharedQueryState::HedgeDelay(
    const Contract& contract,
    const CollectionName& collection,
    const FailureDomain& domain) const {
  if (!m_settings.m_hedging || contract.HedgeShare() <= 0) {
    return std::nullopt;
  }
  const std::lock_guard lock(m_mutex);
  const Duration default_delay =
      Milliseconds(contract.DeadlineMs()) / kDefaultHedgeDelayDivisor;
  const auto found = m_latencies.find(LatencyKey{collection, domain});
  if (found == m_latencies.end()) {
    return default_delay;
  }
  const double quantile = 1 - contract.HedgeShare() * kTypicalHedgeFraction;
  const auto delay = found->second.Quantile(quantile, kMinLatencySamples);
  if (!delay) {
    return default_delay;
  }
  return std::max<Duration>(*delay, kMinHedgeDelay);
}

SharedQueryState::Budgets& SharedQueryState::BudgetsOf(
    const Contract& contract) {
  return m_budgets
      .try_emplace(
          contract.Name(),
          Budgets{ExtraRequestBudget(kHedgeBurstTokens, kHedgeBurstTokens),
                  ExtraRequestBudget(kRetryBurstTokens, kRetryBurstTokens)})
      .first->second;
}

}  // namespace jackdawrack
