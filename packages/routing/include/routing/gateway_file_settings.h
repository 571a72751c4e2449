#pragma once

#include <string>
#include <vector>

#include "core/ini.h"
#include "model/endpoint.h"
#include "model/ids.h"
#include "routing/retry_budget.h"

namespace jackdawrack {

/// Settings of one instance that serves published routes, read from its INI
/// file. The file is recognised by its section [gateway].
struct GatewayFileSettings {
  InstanceId m_id;
  FailureDomain m_domain;
  /// Listener for callers.
  Endpoint m_callers;
  /// Listener for the balancer's question whether to send connections.
  Endpoint m_readiness;
  /// Listener for peer instances.
  Endpoint m_peers;
  /// Listener for operators: metrics and status.
  Endpoint m_operators;
  /// Where the store is read.
  Endpoint m_store;
  /// Peers to begin with; some may be gone.
  std::vector<Endpoint> m_seeds;
  RetryBudgetSettings m_retry_budget;
  /// Time for which knowledge may be old before it has to be noticed.
  Milliseconds m_stable_time{5'000};
  /// Time from the signal to stop until the process is killed.
  Milliseconds m_grace{6'000};

  /// One in so many complete successes is logged.
  std::uint64_t m_log_sample = 64;
  /// Lines a second of one event; those beyond are counted and left out.
  std::uint32_t m_log_lines_per_second = 100;

  friend bool operator==(const GatewayFileSettings&,
                         const GatewayFileSettings&) = default;

  /// True if the text is meant for this kind of instance.
  static bool IsMeant(const IniDocument& document);

  /// Parses the text; on any problem the settings may not be used.
  static GatewayFileSettings Parse(const std::string& file,
                                   const std::string& text,
                                   std::vector<IniProblem>& problems);

  /// Takes what may change while the instance runs: seeds, the budget's ratio
  /// and slack, the grace time and how much is logged.
  void TakeReloadable(const GatewayFileSettings& next);

  /// Keys that differ in `next` and are not reloadable, as "[section] key".
  [[nodiscard]] std::vector<std::string> KeysForRestart(
      const GatewayFileSettings& next) const;
};

}  // namespace jackdawrack
