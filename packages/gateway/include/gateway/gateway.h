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

/// The path of requests through one instance: callers' connections, routing,
/// the runs, and connections to upstreams. Everything runs on the context's
/// only thread.
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

  /// Listens for callers, whose connections wait; the error names the address.
  NetResult<void> Start();

  /// Begins to accept connections; further calls do nothing.
  void BeginAccepting();

  /// Takes what is published now.
  void FollowPublished();

  /// Takes how many instances there are, by failure domain.
  void SetFleet(std::map<FailureDomain, std::size_t> instances);

  /// Takes another bound on repeats to a service.
  void SetRepeatBound(double ratio, double slack);

  /// Logs one in so many complete successes from now on, 1 at least.
  void SetLogSample(std::uint64_t one_in);

  /// Answers on with "Connection: close"; connections go on being accepted.
  void EndConnections();

  /// Closes the listener; connections and requests go on.
  void StopAccepting();

  /// Ends callers' connections that have waited long enough for a request.
  void EndIdle();

  /// Appends metrics of upstreams and services in the Prometheus text format.
  void WriteMetrics(std::string& out) const;

  /// The trace of a request that was logged lately, as JSON; nothing if it is
  /// not remembered.
  [[nodiscard]] std::optional<std::string> Explain(
      const std::string& request) const;

  /// Open connections of callers.
  [[nodiscard]] std::size_t CallerConnections() const;

  /// Open connections to upstreams.
  [[nodiscard]] std::size_t UpstreamConnections() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace jackdawrack
