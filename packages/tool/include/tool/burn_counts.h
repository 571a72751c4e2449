#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "model/ids.h"
#include "tool/burn_objective.h"
#include "tool/burn_source.h"
#include "tool/metrics_snapshot.h"

namespace jackdawrack {

/// Counts of one customer's, or one route's, requests over some time.
struct BurnCounts {
  std::uint64_t m_queries = 0;
  /// Slower than the objective, or so near that the bucket cannot tell.
  std::uint64_t m_slow = 0;
  std::uint64_t m_partial = 0;
  /// Below the contract's minimum coverage.
  std::uint64_t m_insufficient = 0;
  /// What spends the budgets, or costs the upstreams more, by name.
  std::map<std::string, std::uint64_t> m_causes;

  /// Reads the counts of a customer since the instance started; of the route
  /// of that name where the source is of routes.
  static BurnCounts Read(const BurnSource& source,
                         const MetricsSnapshot& metrics,
                         const Customer& customer,
                         const BurnObjective& objective);

  /// What was added since `earlier`; all of it if the instance has restarted
  /// in between, which is seen by a count that fell.
  [[nodiscard]] BurnCounts Since(const BurnCounts& earlier) const;

  /// Adds the counts of another instance or time.
  void Add(const BurnCounts& other);

  friend bool operator==(const BurnCounts&, const BurnCounts&) = default;
};

/// How fast a budget is spent: 1 spends it exactly, 2 in half of the time.
/// `objective` is the share of good events; 0 if nothing happened.
[[nodiscard]] double BurnRate(std::uint64_t bad,
                              std::uint64_t total,
                              double objective);

/// Share of the budget of `total` events that is left; negative when more than
/// all was spent.
[[nodiscard]] double BudgetLeft(std::uint64_t bad,
                                std::uint64_t total,
                                double objective);

}  // namespace jackdawrack
