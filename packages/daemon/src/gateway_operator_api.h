#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "core/clock.h"
#include "net/http_message.h"

namespace jackdawrack {

/// What an instance that serves published routes tells its operators of itself.
struct GatewayStatus {
  std::string m_instance;
  std::string m_failure_domain;
  bool m_is_ready = false;
  bool m_is_stopping = false;
  std::uint64_t m_config_version = 0;
  std::size_t m_replicas = 0;
  std::size_t m_known_instances = 0;
  /// Since the store last answered.
  Milliseconds m_store_age{0};
  bool m_is_store_lost = false;
};

/// Where the answers to operators come from.
struct GatewayOperatorSources {
  std::function<GatewayStatus()> m_status;
  /// Metrics in the Prometheus text format.
  std::function<std::string()> m_metrics;
  /// The trace of a request as JSON; nothing if it is not remembered.
  std::function<std::optional<std::string>(const std::string&)> m_explain;
};

/// Answers operators' questions to an instance that serves published routes,
/// under the same paths as the other roles.
class GatewayOperatorApi final {
 public:
  explicit GatewayOperatorApi(GatewayOperatorSources sources)
      : m_sources(std::move(sources)) {}

  /// Answers one request; 404 for an unknown path or request.
  [[nodiscard]] HttpReply Handle(const HttpRequest& request) const;

 private:
  [[nodiscard]] HttpReply Status() const;
  [[nodiscard]] HttpReply Explain(const std::string& request) const;

  GatewayOperatorSources m_sources;
};

}  // namespace jackdawrack
