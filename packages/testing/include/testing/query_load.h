#pragma once

#include <atomic>
#include <functional>
#include <thread>

#include "testing/test_fleet.h"

namespace jackdawrack {

/// What a load of queries came to.
struct QueryLoadResult {
  std::size_t m_sent = 0;
  std::size_t m_complete = 0;
  /// Answers that were not a well-formed answer at all.
  std::size_t m_broken = 0;
  /// Answers with rows of a version other than the one they claim.
  std::size_t m_mixed = 0;
  /// Answers whose claimed ranges differ from the delivered ones.
  std::size_t m_untrue = 0;
  /// Answers with a row of another caller's nonce.
  std::size_t m_foreign = 0;
  std::vector<double> m_took_ms;

  /// Adds what another run came to.
  void Add(const QueryLoadResult& other);

  /// The latency below which `quantile` of the answers lie, in milliseconds.
  [[nodiscard]] double QuantileMs(double quantile) const;
  [[nodiscard]] std::string ToText() const;
};

/// Sends queries to all instances in turn, at a fixed rate that does not wait
/// for answers, and judges every answer against its own rows.
QueryLoadResult RunQueryLoad(TestFleet& fleet,
                             std::size_t per_second,
                             Milliseconds length);

/// Queries that all upstreams executed.
std::uint64_t ExecutedQueries(TestFleet& fleet);

/// The sum of a counter over all instances.
double SumOfMetric(TestFleet& fleet, const std::string& name);

}  // namespace jackdawrack
