#pragma once

#include <cstdint>
#include <vector>

#include "model/key_range.h"

namespace jackdawrack {

/// A set of keys, kept as sorted ranges that neither overlap nor touch.
class RangeSet final {
 public:
  RangeSet() = default;
  explicit RangeSet(const std::vector<KeyRange>& ranges);

  /// Adds a range; adding it again changes nothing.
  void Add(const KeyRange& range);

  /// Removes a range.
  void Remove(const KeyRange& range);

  /// The parts of `range` that are in the set.
  [[nodiscard]] std::vector<KeyRange> CommonWith(const KeyRange& range) const;

  /// The parts of `range` that are not in the set.
  [[nodiscard]] std::vector<KeyRange> MissingFrom(const KeyRange& range) const;

  /// True when every key of `range` is in the set.
  [[nodiscard]] bool Covers(const KeyRange& range) const;

  /// Number of keys.
  [[nodiscard]] std::uint64_t Size() const;

  [[nodiscard]] bool IsEmpty() const { return m_ranges.empty(); }
  [[nodiscard]] const std::vector<KeyRange>& Ranges() const { return m_ranges; }

  friend bool operator==(const RangeSet&, const RangeSet&) = default;

 private:
  std::vector<KeyRange> m_ranges;
};

}  // namespace jackdawrack
