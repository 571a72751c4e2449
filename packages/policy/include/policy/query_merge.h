#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "model/outcome.h"
#include "model/range_set.h"

namespace jackdawrack {

/// A range that an answer does not cover, and why.
struct MissingRange {
  KeyRange m_range;
  MissReason m_reason = MissReason::kNone;

  friend bool operator==(const MissingRange&, const MissingRange&) = default;
};

/// Collects the parts of one answer, all of one index version.
///
/// Merging is idempotent by range: a part that overlaps what is already there
/// is dropped whole, so no row is ever delivered twice.
class QueryMerge final {
 public:
  QueryMerge(std::vector<KeyRange> wanted, std::uint64_t index_version);

  /// Takes the rows of one range; false if the part was dropped because its
  /// version differs or some of its keys are already covered.
  bool Accept(const KeyRange& range,
              std::uint64_t index_version,
              std::vector<std::string> rows);

  /// Notes why a range was not answered; the last reason is reported.
  void Miss(const KeyRange& range, MissReason reason);

  /// Forgets everything and starts on another index version.
  void Restart(std::uint64_t index_version);

  [[nodiscard]] bool IsComplete() const;

  /// Covered share of the wanted keys, from 0 to 1.
  [[nodiscard]] double Coverage() const;

  /// Wanted ranges that are not covered.
  [[nodiscard]] std::vector<KeyRange> Uncovered() const;

  /// Wanted ranges that are not covered, each with its reason.
  [[nodiscard]] std::vector<MissingRange> Missing() const;

  [[nodiscard]] std::uint64_t IndexVersion() const { return m_index_version; }
  [[nodiscard]] const RangeSet& Covered() const { return m_covered; }

  /// All rows in order of key range.
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
