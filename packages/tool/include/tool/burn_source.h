#pragma once

namespace jackdawrack {

/// Names of the metrics that a burn report rests on.
struct BurnSource {
  /// Label whose values have a budget each: customers, or published routes.
  const char* m_label;
  /// Histogram of latencies.
  const char* m_latency;
  /// Answers that do not cover everything.
  const char* m_partial;
  /// Requests that were not answered with enough.
  const char* m_insufficient;
};

/// What instances that plan queries by contract publish.
inline constexpr BurnSource kContractBurn{"customer", "jackdawrack_query_ms",
                                          "jackdawrack_partial_queries",
                                          "jackdawrack_insufficient_queries"};

/// What instances that serve published routes publish.
inline constexpr BurnSource kRouteBurn{"route", "jackdawrack_request_ms",
                                       "jackdawrack_partial_answers_total",
                                       "jackdawrack_failed_requests_total"};

}  // namespace jackdawrack
