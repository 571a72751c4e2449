#include "policy/served_versions.h"

#include <algorithm>
#include <set>

#include "core/check.h"
#include "model/range_set.h"

namespace jackdawrack {
namespace {

bool IsPublished(const CollectionMap& collection, std::uint64_t version) {
  return version == collection.IndexVersion() ||
         version == collection.PreviousIndexVersion();
}

bool Contains(const std::vector<std::uint64_t>& versions,
              std::uint64_t version) {
  return std::find(versions.begin(), versions.end(), version) != versions.end();
}

}  // namespace

void ServedVersions::Report(const KeyRange& range,
                            std::vector<std::uint64_t> versions,
                            TimePoint now) {
  JR_CHECK(range.IsValid());
  std::erase_if(m_reports, [&](const VersionReport& report) {
    return Intersect(report.m_range, range).IsValid() ||
           now - report.m_reported_at > kReportLifetime;
  });
  if (!versions.empty()) {
    m_reports.push_back(VersionReport{range, std::move(versions), now});
  }
}

std::uint64_t ServedVersions::ChooseVersion(const CollectionMap& collection,
                                            const std::vector<KeyRange>& wanted,
                                            TimePoint now) const {
  const std::vector<const VersionReport*> reports = CurrentReports(wanted, now);

  // Collect the candidate versions, newest first
  std::set<std::uint64_t, std::greater<>> candidates{
      collection.IndexVersion(), collection.PreviousIndexVersion()};
  RangeSet reported_ranges;
  for (const VersionReport* report : reports) {
    candidates.insert(report->m_versions.begin(), report->m_versions.end());
    reported_ranges.Add(report->m_range);
  }
  candidates.erase(0);

  // Choose the first one that every report contains
  const bool all_reported = std::all_of(
      wanted.begin(), wanted.end(),
      [&](const KeyRange& range) { return reported_ranges.Covers(range); });
  for (const std::uint64_t version : candidates) {
    const bool is_served = std::all_of(
        reports.begin(), reports.end(), [&](const VersionReport* report) {
          return Contains(report->m_versions, version);
        });
    if (is_served && (all_reported || IsPublished(collection, version))) {
      return version;
    }
  }
  return collection.IndexVersion();
}

std::vector<const ServedVersions::VersionReport*>
ServedVersions::CurrentReports(const std::vector<KeyRange>& wanted,
                               TimePoint now) const {
  std::vector<const VersionReport*> reports;
  for (const VersionReport& report : m_reports) {
    const bool is_wanted =
        std::any_of(wanted.begin(), wanted.end(), [&](const KeyRange& range) {
          return Intersect(report.m_range, range).IsValid();
        });
    if (is_wanted && now - report.m_reported_at <= kReportLifetime) {
      reports.push_back(&report);
    }
  }
  return reports;
}

}  // namespace jackdawrack
