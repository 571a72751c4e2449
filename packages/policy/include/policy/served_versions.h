#pragma once

#include <cstdint>
#include <vector>

#include "core/clock.h"
#include "model/collection_map.h"

namespace jackdawrack {

/// Index versions that replicas of one collection said they serve, by range.
///
/// Keeps only what differs from the published map: a range of which nothing is
/// known counts as serving the published versions. Reports expire, so that a
/// replica that was heard once does not hold back the version for good.
class ServedVersions final {
 public:
  /// Time after which a report is not believed any more.
  static constexpr Milliseconds kReportLife{2'000};

  /// Notes that the replica asked for `range` serves `versions`; if empty, it
  /// serves the published versions, and what was known is forgotten.
  void Report(const KeyRange& range,
              std::vector<std::uint64_t> versions,
              TimePoint now);

  /// Newest version that every shard of `wanted` serves; the published one if
  /// no version is common to all.
  [[nodiscard]] std::uint64_t Choose(const CollectionMap& collection,
                                     const std::vector<KeyRange>& wanted,
                                     TimePoint now) const;

 private:
  struct Entry {
    KeyRange m_range;
    std::vector<std::uint64_t> m_versions;
    TimePoint m_at{};
  };

  [[nodiscard]] std::vector<const Entry*> FreshEntries(
      const std::vector<KeyRange>& wanted,
      TimePoint now) const;

  std::vector<Entry> m_entries;
};

}  // namespace jackdawrack
