#pragma once

#include <string>
#include <vector>

#include "tool/load_statistics.h"

namespace jackdawrack {

/// Results of one kind of request, or of all.
struct LoadRow {
  std::string m_name;
  LoadCounts m_counts;
  LoadLatency m_latency;
  double m_per_second = 0;

  friend bool operator==(const LoadRow&, const LoadRow&) = default;
};

/// Everything that a load run has measured.
struct LoadReport {
  /// One row a kind; the last row is for all kinds together.
  std::vector<LoadRow> m_rows;
  /// One row a second of the run, named by the second.
  std::vector<LoadRow> m_seconds;
  /// Counted time, without the warm-up.
  double m_duration_s = 0;
  std::uint64_t m_seed = 0;
  /// All requests planned, with those of the warm-up.
  std::uint64_t m_arrivals = 0;
  /// Arrivals that were still waiting for a connection at the end.
  std::uint64_t m_unsent = 0;

  /// A table for a person.
  [[nodiscard]] std::string ToText() const;

  /// The same and the seconds, as one JSON object.
  [[nodiscard]] std::string ToJson() const;

  friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

}  // namespace jackdawrack
