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

/// The entry's metrics of one customer; the burn report is made from them.
class CustomerMetrics final {
 public:
  /// `registry` has to outlive this object.
  CustomerMetrics(Customer customer, MetricsRegistry& registry);

  /// Counts an answered query, and each reason of its missing ranges once.
  void CountQuery(const QueryAnswer& answer, const TraceCounts& counts);
  /// Counts a non-idempotent request by its outcome.
  void CountRun(const RunAnswer& answer);
  /// Counts a refusal.
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

/// The metrics of every customer that has a contract.
class CustomerMetricsTable final {
 public:
  explicit CustomerMetricsTable(MetricsRegistry& registry)
      : m_registry(registry) {}

  /// The metrics of a customer, made on first use; called only for customers
  /// with a contract, so that callers cannot make it grow.
  [[nodiscard]] std::shared_ptr<CustomerMetrics> For(const Customer& customer);

 private:
  MetricsRegistry& m_registry;
  RankedMutex m_mutex{LockRank::kTrace};
  std::map<Customer, std::shared_ptr<CustomerMetrics>> m_customers;
};

}  // namespace jackdawrack
