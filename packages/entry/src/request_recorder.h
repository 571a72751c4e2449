#pragma once

#include <memory>
#include <optional>
#include <string>

#include "customer_metrics.h"
#include "entry/trace_store.h"

namespace jackdawrack {

/// Records what became of requests: metrics by customer, and traces to explain
/// them by. Methods may be called from any thread.
class RequestRecorder final {
 public:
  /// `registry` has to outlive this object.
  explicit RequestRecorder(MetricsRegistry& registry)
      : m_customers(registry), m_traces(TraceStoreSettings()) {}

  /// Begins the trace of a request that was taken.
  [[nodiscard]] std::shared_ptr<RequestTrace> Begin(RequestId request,
                                                    const Customer& customer,
                                                    const std::string& kind);

  /// Records an answered query.
  void FinishQuery(const RequestTrace& trace, const QueryAnswer& answer);

  /// Records an answered non-idempotent request.
  void FinishRun(RequestTrace& trace, const RunAnswer& answer);

  /// Records a refusal; a customer without a contract is not counted, so that
  /// callers cannot make the metrics grow.
  void Refuse(const Customer& customer, EntryErrc code);

  /// The trace of a finished request as JSON, or nothing once forgotten.
  [[nodiscard]] std::optional<std::string> Explain(RequestId request) const;

 private:
  CustomerMetricsTable m_customers;
  TraceStore m_traces;
};

}  // namespace jackdawrack
