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
  std::erase_if(m_entries, [&](const Entry& entry) {
    return Intersect(entry.m_range, range).IsValid() ||
           now - entry.m_at > kReportLife;
  });
  if (!versions.empty()) {
    m_entries.push_back(Entry{range, std::move(versions), now});
  }
}

std::uint64_t ServedVersions::Choose(const CollectionMap& collection,
                                     const std::vector<KeyRange>& wanted,
                                     TimePoint now) const {
  const std::vector<const Entry*> fresh = FreshEntries(wanted, now);

  // Collect the candidate versions, newest first
  std::set<std::uint64_t, std::greater<>> candidates{
      collection.IndexVersion(), collection.PreviousIndexVersion()};
  RangeSet reported;
  for (const Entry* entry : fresh) {
    candidates.insert(entry->m_versions.begin(), entry->m_versions.end());
    reported.Add(entry->m_range);
  }
  candidates.erase(0);

  // Choose the first one that every report contains
  const bool all_reported = std::all_of(
      wanted.begin(), wanted.end(),
      [&](const KeyRange& range) { return reported.Covers(range); });
  for (const std::uint64_t version : candidates) {
    const bool is_served =
        std::all_of(fresh.begin(), fresh.end(), [&](const Entry* entry) {
          return Contains(entry->m_versions, version);
        });
    if (is_served && (all_reported || IsPublished(collection, version))) {
      return version;
    }
  }
  return collection.IndexVersion();
}

std::vector<const ServedVersions::Entry*> ServedVersions::FreshEntries(
    const std::vector<KeyRange>& wanted,
    TimePoint now) const {
  std::vector<const Entry*> fresh;
  for (const Entry& entry : m_entries) {
    const bool is_wanted =
        std::any_of(wanted.begin(), wanted.end(), [&](const KeyRange& range) {
          return Intersect(entry.m_range, range).IsValid();
        });
    if (is_wanted && now - entry.m_at <= kReportLife) {
      fresh.push_back(&entry);
    }
  }
  return fresh;
}

}  // namespace jackdawrack
