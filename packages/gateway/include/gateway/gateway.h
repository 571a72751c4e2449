#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "core/metrics.h"
#include "gateway/gateway_settings.h"
#include "net/net_error.h"
#include "routing/published_state.h"

namespace jackdawrack {

/// The HTTP gateway of one instance: accepts callers' connections, routes their
/// requests, and forwards them to upstreams over its own connections. All work
/// and all calls run on the single thread of the `io_context`.
class Gateway final {
 public:
  /// `context`, `state` and `metrics` outlive the gateway.
  Gateway(boost::asio::io_context& context,
          GatewaySettings settings,
          const PublishedState& state,
          MetricsRegistry& metrics);
  ~Gateway();

  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  /// Binds and listens for callers. Connections stay in the listen backlog
  /// until `BeginAccepting`. An error names the address.
  NetResult<void> Start();

  /// Starts accepting connections; repeated calls have no effect.
  void BeginAccepting();

  /// Updates replicas and connection limits from the published state.
  void ApplyPublishedState();

  /// Sets the number of instances in each failure domain, among which the
  /// connections to upstreams and the retry budgets are divided.
  void SetFleet(std::map<FailureDomain, std::size_t> instances);

  /// Sets the retry budget of each service: `ratio` is the number of repeats
  /// (retries and hedges) per request, `slack` the number that the whole fleet
  /// may send in addition in each window.
  void SetRetryBudget(double ratio, double slack);

  /// Logs one of every `one_in` complete successes; `one_in` is at least 1.
  void SetLogSample(std::uint64_t one_in);

  /// Sends "Connection: close" with each further response. Connections are
  /// still accepted.
  void EndKeepAlive();

  /// While paused, sends "Connection: close" with each response, so that
  /// callers turn to other instances.
  void PauseKeepAlive(bool is_paused);

  /// Accepts the connections in the backlog and closes the listener. Open
  /// connections and running requests continue. Requests that still arrive are
  /// refused unless they are expected to be answered by `responses_due_at`.
  void StopAccepting(TimePoint responses_due_at);

  /// Responds at once to all requests that are being served. Those that no
  /// upstream has executed are refused.
  void FinishRequests();

  /// Closes callers' connections that have been idle for long enough that no
  /// request is expected to be in transit.
  void CloseIdle();

  /// Appends metrics of upstreams and services in the Prometheus text format.
  void WriteMetrics(std::string& out) const;

  /// Returns the trace of a recently logged request as JSON, or nothing if the
  /// trace is no longer kept.
  [[nodiscard]] std::optional<std::string> Explain(
      const std::string& request_id) const;

  /// Number of open connections from callers.
  [[nodiscard]] std::size_t CallerConnections() const;

  /// Number of open connections to upstreams.
  [[nodiscard]] std::size_t UpstreamConnections() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace jackdawrack
