#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "model/outcome.h"
#include "model/range_set.h"

namespace jackdawrack {

/// A key range that a query's answer does not cover, with the reason.
struct MissingRange {
  KeyRange m_range;
  MissReason m_reason = MissReason::kNone;

  friend bool operator==(const MissingRange&, const MissingRange&) = default;
};

/// Merges the partial results of one query; all are of one index version.
///
/// A partial result that overlaps a covered range is dropped as a whole, so
/// that repeated results (of hedges or retries) never duplicate a row.
class QueryMerge final {
 public:
  /// `wanted` are the key ranges of the query; at least one.
  QueryMerge(std::vector<KeyRange> wanted, std::uint64_t index_version);

  /// Adds the rows of one range. Returns false and drops them if the version
  /// differs, the range is not wanted, or some of its keys are already covered.
  bool Accept(const KeyRange& range,
              std::uint64_t index_version,
              std::vector<std::string> rows);

  /// Records why a range was not answered. If reasons overlap, the last one is
  /// reported.
  void RecordMiss(const KeyRange& range, MissReason reason);

  /// Drops all results and reasons and starts over with another index version.
  void Restart(std::uint64_t index_version);

  /// Returns true if all wanted keys are covered.
  [[nodiscard]] bool IsComplete() const;

  /// Returns the covered fraction of the wanted keys, from 0 to 1.
  [[nodiscard]] double Coverage() const;

  /// Returns the wanted ranges that are not covered.
  [[nodiscard]] std::vector<KeyRange> UncoveredRanges() const;

  /// Returns the wanted ranges that are not covered, each with its reason;
  /// `kTimeout` where none was recorded.
  [[nodiscard]] std::vector<MissingRange> MissingRanges() const;

  [[nodiscard]] std::uint64_t IndexVersion() const { return m_index_version; }
  [[nodiscard]] const RangeSet& Covered() const { return m_covered; }

  /// Returns all rows, ordered by key range.
  [[nodiscard]] std::vector<std::string> Rows() const;

 private:
  struct Part {
    KeyRange m_range;
    std::vector<std::string> m_rows;
  };

  [[nodiscard]] MissReason ReasonFor(const KeyRange& range) const;

  const RangeSet m_wanted;
  std::uint64_t m_index_version;
  RangeSet m_covered;
  std::vector<Part> m_parts;
  std::vector<MissingRange> m_misses;
};

}  // namespace jackdawrack
