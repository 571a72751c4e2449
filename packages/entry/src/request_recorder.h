#pragma once

#include <memory>
#include <optional>
#include <string>

#include "customer_metrics.h"
#include "entry/trace_store.h"

namespace jackdawrack {

/// Records the results of requests: metrics per customer, and traces for
/// diagnosis. Thread-safe.
class RequestRecorder final {
 public:
  /// `registry` must outlive this object.
  explicit RequestRecorder(MetricsRegistry& registry)
      : m_customers(registry), m_traces(TraceStoreSettings()) {}

  /// Begins the trace of an admitted request.
  [[nodiscard]] std::shared_ptr<RequestTrace> Begin(RequestId request,
                                                    const Customer& customer,
                                                    const std::string& kind);

  /// Records an answered query.
  void FinishQuery(const RequestTrace& trace, const QueryAnswer& answer);

  /// Records an answered non-idempotent request.
  void FinishRun(RequestTrace& trace, const RunAnswer& answer);

  /// Counts a refusal for the customer. Customers without a contract are not
  /// counted; otherwise callers could grow the metrics without limit.
  void CountRefusal(const Customer& customer, EntryErrc code);

  /// Returns the trace of a finished request as JSON, or nothing if it is not
  /// stored.
  [[nodiscard]] std::optional<std::string> Explain(RequestId request) const;

 private:
  CustomerMetricsTable m_customers;
  TraceStore m_traces;
};

}  // namespace jackdawrack
