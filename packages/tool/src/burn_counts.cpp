#include "tool/burn_counts.h"

#include <algorithm>

namespace jackdawrack {
namespace {

/// Least share of bad events that is still budgeted, so that an objective of
/// all events does not divide by zero.
constexpr double kLeastBudgetShare = 1e-9;

std::uint64_t ToCount(double value) {
  return value <= 0 ? 0 : static_cast<std::uint64_t>(value);
}

// One count for each value of `label` of a metric, under "PREFIX VALUE".
void ReadByLabel(const MetricsSnapshot& metrics,
                 const std::string& name,
                 const std::string& label,
                 const std::string& prefix,
                 MetricLabels labels,
                 std::map<std::string, std::uint64_t>& causes) {
  for (const std::string& value : metrics.LabelValues(name, label)) {
    labels[label] = value;
    const std::uint64_t count = ToCount(metrics.Sum(name, labels));
    if (count > 0) {
      causes[prefix + value] = count;
    }
  }
}

void ReadPlain(const MetricsSnapshot& metrics,
               const std::string& name,
               const std::string& cause,
               const MetricLabels& labels,
               std::map<std::string, std::uint64_t>& causes) {
  const std::uint64_t count = ToCount(metrics.Sum(name, labels));
  if (count > 0) {
    causes[cause] = count;
  }
}

}  // namespace

BurnCounts BurnCounts::Read(const BurnSource& source,
                            const MetricsSnapshot& metrics,
                            const Customer& customer,
                            const BurnObjective& objective) {
  const MetricLabels labels{{source.m_label, customer.Text()}};
  const std::string latency = source.m_latency;
  BurnCounts counts;
  counts.m_queries = ToCount(metrics.Sum(latency + "_count", labels));
  const std::uint64_t fast =
      ToCount(metrics.CountUpTo(latency, labels, objective.m_latency_ms));
  counts.m_slow = counts.m_queries - std::min(fast, counts.m_queries);
  counts.m_partial = ToCount(metrics.Sum(source.m_partial, labels));
  counts.m_insufficient = ToCount(metrics.Sum(source.m_insufficient, labels));

  // What spent the budgets
  auto& causes = counts.m_causes;
  ReadByLabel(metrics, "jackdawrack_partial_by_reason", "reason",
              "partial: ", labels, causes);
  ReadByLabel(metrics, "jackdawrack_customer_refusals", "error",
              "refused: ", labels, causes);
  ReadByLabel(metrics, "jackdawrack_requests", "outcome", "request: ", labels,
              causes);
  ReadByLabel(metrics, "jackdawrack_requests_total", "status",
              "status: ", labels, causes);
  causes.erase("status: 200");
  ReadPlain(metrics, "jackdawrack_query_retries", "retries", labels, causes);
  ReadPlain(metrics, "jackdawrack_query_restarts", "version restarts", labels,
            causes);
  ReadPlain(metrics, "jackdawrack_query_hedges", "hedges", labels, causes);
  ReadPlain(metrics, "jackdawrack_late_replies", "late replies", labels,
            causes);
  return counts;
}

BurnCounts BurnCounts::Since(const BurnCounts& earlier) const {
  if (m_queries < earlier.m_queries || m_partial < earlier.m_partial) {
    return *this;
  }
  BurnCounts added;
  added.m_queries = m_queries - earlier.m_queries;
  added.m_slow = m_slow - std::min(m_slow, earlier.m_slow);
  added.m_partial = m_partial - earlier.m_partial;
  added.m_insufficient =
      m_insufficient - std::min(m_insufficient, earlier.m_insufficient);
  for (const auto& [cause, count] : m_causes) {
    const auto before = earlier.m_causes.find(cause);
    const std::uint64_t old =
        before == earlier.m_causes.end() ? 0 : before->second;
    if (count > old) {
      added.m_causes[cause] = count - old;
    }
  }
  return added;
}

void BurnCounts::Add(const BurnCounts& other) {
  m_queries += other.m_queries;
  m_slow += other.m_slow;
  m_partial += other.m_partial;
  m_insufficient += other.m_insufficient;
  for (const auto& [cause, count] : other.m_causes) {
    m_causes[cause] += count;
  }
}

double BurnRate(std::uint64_t bad, std::uint64_t total, double objective) {
  if (total == 0) {
    return 0;
  }
  const double share = static_cast<double>(bad) / static_cast<double>(total);
  return share / std::max(1 - objective, kLeastBudgetShare);
}

double BudgetLeft(std::uint64_t bad, std::uint64_t total, double objective) {
  return 1 - BurnRate(bad, total, objective);
}

}  // namespace jackdawrack
