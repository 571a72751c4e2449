#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/ini.h"
#include "model/endpoint.h"
#include "model/ids.h"
#include "routing/retry_budget.h"

namespace jackdawrack {

/// Settings of a gateway instance, which serves the published routes. Read from
/// an INI file with a [gateway] section.
struct GatewayFileSettings {
  InstanceId m_id;
  FailureDomain m_domain;
  /// Region of each failure domain; a failure domain without an entry is a
  /// region of its own.
  std::map<FailureDomain, std::string> m_regions;
  /// True if the whole fleet starts for the first time, with nothing published.
  bool m_is_first_start = false;
  /// Listen endpoint for callers.
  Endpoint m_callers;
  /// Listen endpoint for the load balancer's readiness probe.
  Endpoint m_readiness;
  /// Listen endpoint for peer instances.
  Endpoint m_peers;
  /// Listen endpoint for operators: metrics and status.
  Endpoint m_operators;
  /// Endpoint of the configuration store.
  Endpoint m_store;
  /// Initial peers; some of them may be unreachable.
  std::vector<Endpoint> m_seeds;
  RetryBudgetSettings m_retry_budget;
  /// Maximum time for which published state may be stale without this being
  /// detected.
  Milliseconds m_max_staleness{5'000};
  /// Time from the publication of a draining upstream until it gets no more
  /// requests.
  Milliseconds m_drain_bound{3'000};
  /// Time from the publication of a configuration until it is in force.
  Milliseconds m_apply_bound{3'000};
  /// Time from the termination signal until the process is killed.
  Milliseconds m_shutdown_grace_period{6'000};

  /// Maximum size of the body of an upstream's response.
  std::size_t m_max_response_bytes = 2 << 20;
  /// Maximum memory that the buffered bodies of all requests and responses use
  /// together.
  std::size_t m_max_buffered_bytes = 32 << 20;

  /// One in this many fully successful requests is logged.
  std::uint64_t m_log_sample = 64;
  /// Maximum log lines per second for one event; further lines are dropped and
  /// counted.
  std::uint32_t m_log_lines_per_second = 100;

  friend bool operator==(const GatewayFileSettings&,
                         const GatewayFileSettings&) = default;

  /// Returns true if the document has a non-empty [gateway] section.
  static bool IsGatewayFile(const IniDocument& document);

  /// Parses `text`; `file` is the name used in problems. The result must not be
  /// used if any problem was added.
  static GatewayFileSettings Parse(const std::string& file,
                                   const std::string& text,
                                   std::vector<IniProblem>& problems);

  /// Copies the settings that may change at run time from `next`: seed peers,
  /// ratio and slack of the retry budget, grace period and log limits.
  void ApplyReloadable(const GatewayFileSettings& next);

  /// Returns the keys, as "[section] key", whose values differ in `next` and
  /// take effect only after a restart.
  [[nodiscard]] std::vector<std::string> KeysRequiringRestart(
      const GatewayFileSettings& next) const;
};

}  // namespace jackdawrack
