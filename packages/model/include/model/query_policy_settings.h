#pragma once

#include "core/ini.h"

namespace jackdawrack {

/// Switches of the mechanisms that act on queries under load and faults, so
/// that an experiment can run without one of them.
struct QueryPolicySettings {
  /// Begins a query on the newest version that all needed shards reported.
  bool m_snapshot_memory = true;
  /// Begins again, once, on another version that the upstreams serve.
  bool m_snapshot_restart = true;
  /// Asks again, on the newest map, for ranges that nobody works on.
  bool m_replan = true;
  /// Takes waiting work away from an upstream that is leaving.
  bool m_drain_requeue = true;
  /// Asks a second replica when an answer is later than usual.
  bool m_hedging = true;
  /// Bounds retries of work that may have run by the contract's share.
  bool m_retry_budget = true;
  /// Refuses work at once that cannot finish before its deadline.
  bool m_early_refusal = false;
  /// Counts a timed-out request as running for the learned service time.
  bool m_held_slots = true;
  /// Gives up connections whose reply is late while a newer one came.
  bool m_silent_abandon = true;
  /// Sends nothing to an upstream that cannot be connected to.
  bool m_ejection = true;
  /// Prefers other replicas to one much slower than its siblings.
  bool m_slow_ejection = true;
  /// Avoids a replica for a while after it refused.
  bool m_refusal_pause = true;

  /// Reads section [policy]; every key has a default.
  static QueryPolicySettings Read(const std::string& file,
                                  const IniSection& section,
                                  std::vector<IniProblem>& problems);

  friend bool operator==(const QueryPolicySettings&,
                         const QueryPolicySettings&) = default;
};

}  // namespace jackdawrack
