#pragma once

#include <map>
#include <memory>

#include "core/metrics.h"
#include "core/ranked_mutex.h"
#include "entry/entry_error.h"
#include "entry/request_trace.h"
#include "peer/messages.h"
#include "query_answer.h"

namespace jackdawrack {

/// The entry role's metrics of one customer. The error budget burn report is
/// computed from them.
class CustomerMetrics final {
 public:
  /// `registry` must outlive this object.
  CustomerMetrics(Customer customer, MetricsRegistry& registry);

  /// Counts an answered query, and once each distinct reason of its missing
  /// ranges.
  void CountQuery(const QueryAnswer& answer, const TraceCounts& counts);
  /// Counts a non-idempotent request by its outcome.
  void CountRun(const RunAnswer& answer);
  /// Counts a refused request by its error.
  void CountRefusal(EntryErrc code);

  [[nodiscard]] Counter& LateReplies() { return m_late_replies; }

 private:
  [[nodiscard]] std::string LabelsWith(const char* name,
                                       std::string_view value) const;

  const std::string m_labels;
  MetricsRegistry& m_registry;
  LatencyHistogram& m_query_ms;
  Counter& m_queries;
  Counter& m_partial;
  Counter& m_insufficient;
  Counter& m_retries;
  Counter& m_restarts;
  Counter& m_hedges;
  Counter& m_late_replies;
};

/// The metrics of all customers that have a contract. Thread-safe.
class CustomerMetricsTable final {
 public:
  explicit CustomerMetricsTable(MetricsRegistry& registry)
      : m_registry(registry) {}

  /// Returns the metrics of a customer, creating them on first use. Must be
  /// called only for customers with a contract; otherwise callers could grow
  /// the table without limit.
  [[nodiscard]] std::shared_ptr<CustomerMetrics> ForCustomer(
      const Customer& customer);

 private:
  MetricsRegistry& m_registry;
  RankedMutex m_mutex{LockRank::kTrace};
  std::map<Customer, std::shared_ptr<CustomerMetrics>> m_customers;
};

}  // namespace jackdawrack
