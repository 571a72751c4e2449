#pragma once

#include <string>
#include <vector>

#include "core/ini.h"
#include "model/endpoint.h"
#include "model/ids.h"
#include "model/query_policy_settings.h"

namespace jackdawrack {

/// Settings of one instance, read from its INI file.
struct InstanceSettings {
  InstanceId m_id;
  FailureDomain m_domain;
  std::size_t m_worker_threads = 2;
  /// Listener for callers.
  Endpoint m_callers;
  /// Listener for peer instances.
  Endpoint m_peers;
  /// Listener for operators: readiness, metrics, status.
  Endpoint m_operators;
  /// Source IP of connections to peers, upstreams and the platform; empty
  /// leaves the choice to the kernel.
  std::string m_outbound_address;
  /// Addresses of the configuration service, tried in turn.
  std::vector<Endpoint> m_platform;
  /// Time that a planned stop goes on accepting, so that the balancer notices.
  std::uint32_t m_balancer_lag_ms = 1000;
  std::size_t m_max_body_bytes = 1 << 20;
  /// Switches of the query mechanisms.
  QueryPolicySettings m_query_policy;
  /// For measurement only: queries go to the own domain's upstreams over this
  /// instance's own pools instead of their owners.
  bool m_direct_baseline = false;

  /// Parses the text; on any problem the settings may not be used.
  static InstanceSettings Parse(const std::string& file,
                                const std::string& text,
                                std::vector<IniProblem>& problems);
};

}  // namespace jackdawrack
