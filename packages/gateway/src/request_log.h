#pragma once

#include <memory>
#include <span>
#include <string>

#include "routed_request.h"
#include "sub_request.h"

namespace jackdawrack {

/// Summary of a finished request, for the log and the metrics.
struct FinishedRequest {
  const RoutedRequest& m_request;
  std::span<const std::shared_ptr<SubRequest>> m_sub_requests;
  /// HTTP status sent to the caller; 0 if the caller had disconnected.
  unsigned m_status = 0;
  /// Number of shards missing from the response.
  std::uint32_t m_missing_shards = 0;
};

/// The label with which the metrics of a route begin.
[[nodiscard]] std::string RouteLabel(const std::string& route);

/// Updates the metrics for a finished request and writes its log lines.
/// Failures, refusals, partial responses and disconnects of callers are always
/// logged; complete successes are logged for a sample of the request ids, which
/// is the same on every instance. The trace of a logged request is kept in the
/// context's recent requests.
void RecordFinishedRequest(const GatewayContext& context,
                           const FinishedRequest& finished,
                           TimePoint now);

}  // namespace jackdawrack
