#include "customer_metrics.h"

#include <fmt/format.h>

#include <set>

namespace jackdawrack {

CustomerMetrics::CustomerMetrics(Customer customer, MetricsRegistry& registry)
    : m_labels(fmt::format("customer=\"{}\"", customer.Text())),
      m_registry(registry),
      m_query_ms(registry.HistogramFor("jackdawrack_query_ms", m_labels)),
      m_queries(registry.CounterFor("jackdawrack_queries", m_labels)),
      m_partial(registry.CounterFor("jackdawrack_partial_queries", m_labels)),
      m_insufficient(
          registry.CounterFor("jackdawrack_insufficient_queries", m_labels)),
      m_retries(registry.CounterFor("jackdawrack_query_retries", m_labels)),
      m_restarts(registry.CounterFor("jackdawrack_query_restarts", m_labels)),
      m_hedges(registry.CounterFor("jackdawrack_query_hedges", m_labels)),
      m_late_replies(
          registry.CounterFor("jackdawrack_late_replies", m_labels)) {}

void CustomerMetrics::CountQuery(const QueryAnswer& answer,
                                 const TraceCounts& counts) {
  m_query_ms.Record(answer.m_elapsed);
  m_queries.Add();
  m_retries.Add(counts.m_retries);
  m_restarts.Add(counts.m_restarts);
  m_hedges.Add(counts.m_hedges);
  if (answer.m_missing.empty()) {
    return;
  }
  m_partial.Add();
  if (!answer.m_is_sufficient) {
    m_insufficient.Add();
  }

  // Count each reason once per query, so that the counts are comparable with
  // the number of queries
  std::set<MissReason> reasons;
  for (const MissingRange& missing : answer.m_missing) {
    reasons.insert(missing.m_reason);
  }
  for (const MissReason reason : reasons) {
    m_registry
        .CounterFor("jackdawrack_partial_by_reason",
                    LabelsWith("reason", MissReasonName(reason)))
        .Add();
  }
}

void CustomerMetrics::CountRun(const RunAnswer& answer) {
  m_registry
      .CounterFor("jackdawrack_requests",
                  LabelsWith("outcome", OutcomeName(answer.m_outcome)))
      .Add();
}

void CustomerMetrics::CountRefusal(EntryErrc code) {
  m_registry
      .CounterFor("jackdawrack_customer_refusals",
                  LabelsWith("error", EntryErrorName(code)))
      .Add();
}

std::string CustomerMetrics::LabelsWith(const char* name,
                                        std::string_view value) const {
  return fmt::format("{},{}=\"{}\"", m_labels, name, value);
}

std::shared_ptr<CustomerMetrics> CustomerMetricsTable::ForCustomer(
    const Customer& customer) {
  const std::lock_guard lock(m_mutex);
  std::shared_ptr<CustomerMetrics>& metrics = m_customers[customer];
  if (metrics == nullptr) {
    metrics = std::make_shared<CustomerMetrics>(customer, m_registry);
  }
  return metrics;
}

}  // namespace jackdawrack
