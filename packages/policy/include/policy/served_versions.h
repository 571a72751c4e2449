#pragma once

#include <cstdint>
#include <vector>

#include "core/clock.h"
#include "model/collection_map.h"

namespace jackdawrack {

/// Index versions that the replicas of one collection report, by key range.
///
/// Stores only reports that differ from the published map; ranges without a
/// report are assumed to serve the published versions. Reports expire, so that
/// a single report from an outdated replica does not hold back the version
/// indefinitely. Not thread-safe.
class ServedVersions final {
 public:
  /// Time after which a report is ignored.
  static constexpr Milliseconds kReportLifetime{2'000};

  /// Records that a replica of `range` serves `versions`. An empty list stands
  /// for the published versions. Replaces all reports that overlap `range`.
  void Report(const KeyRange& range,
              std::vector<std::uint64_t> versions,
              TimePoint now);

  /// Returns the newest version that all of `wanted` serves according to the
  /// reports. A version that is not published is chosen only if reports cover
  /// all of `wanted`. If no version is common to all, returns the newest
  /// published one.
  [[nodiscard]] std::uint64_t ChooseVersion(const CollectionMap& collection,
                                            const std::vector<KeyRange>& wanted,
                                            TimePoint now) const;

 private:
  struct VersionReport {
    KeyRange m_range;
    std::vector<std::uint64_t> m_versions;
    TimePoint m_reported_at{};
  };

  [[nodiscard]] std::vector<const VersionReport*> CurrentReports(
      const std::vector<KeyRange>& wanted,
      TimePoint now) const;

  std::vector<VersionReport> m_reports;
};

}  // namespace jackdawrack
