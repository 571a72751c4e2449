#include "routing/replica_directory.h"

#include <set>

namespace jackdawrack {

bool ReplicaDirectory::Apply(const ReplicaRecord& record) {
  const auto [it, is_new] =
      m_entries.try_emplace(record.m_id, Entry{record, std::nullopt});
  if (is_new) {
    return true;
  }
  Entry& known = it->second;
  if (record.m_incarnation < known.m_record.m_incarnation) {
    return false;
  }
  known.m_record = record;
  known.m_drop_at.reset();
  return true;
}

void ReplicaDirectory::Remove(const UpstreamId& id, TimePoint now) {
  const auto found = m_entries.find(id);
  if (found == m_entries.end()) {
    return;
  }
  if (now >= m_removals_deferred_until) {
    m_entries.erase(found);
    return;
  }
  if (!found->second.m_drop_at) {
    found->second.m_drop_at = m_removals_deferred_until;
  }
}

void ReplicaDirectory::MarkMissing(const UpstreamId& id, TimePoint now) {
  const auto found = m_entries.find(id);
  if (found != m_entries.end() && !found->second.m_drop_at) {
    found->second.m_drop_at = now + kMissingGracePeriod;
  }
}

void ReplicaDirectory::ApplyListing(const std::vector<ReplicaRecord>& listed,
                                    TimePoint now) {
  std::set<UpstreamId> present;
  for (const ReplicaRecord& record : listed) {
    Apply(record);
    present.insert(record.m_id);
  }

  std::vector<UpstreamId> missing;
  for (const auto& [id, entry] : m_entries) {
    if (!present.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const UpstreamId& id : missing) {
    Remove(id, now);
  }
}

bool ReplicaDirectory::DropExpired(TimePoint now) {
  const std::size_t old_size = m_entries.size();
  std::erase_if(m_entries, [now](const auto& item) {
    return item.second.m_drop_at && *item.second.m_drop_at <= now;
  });
  return m_entries.size() != old_size;
}

bool ReplicaDirectory::IsMissing(const UpstreamId& id) const {
  const auto found = m_entries.find(id);
  return found != m_entries.end() && found->second.m_drop_at.has_value();
}

std::vector<UpstreamId> ReplicaDirectory::MissingIds() const {
  std::vector<UpstreamId> missing;
  for (const auto& [id, entry] : m_entries) {
    if (entry.m_drop_at) {
      missing.push_back(id);
    }
  }
  return missing;
}

std::vector<ReplicaRecord> ReplicaDirectory::Records() const {
  std::vector<ReplicaRecord> records;
  records.reserve(m_entries.size());
  for (const auto& [id, entry] : m_entries) {
    records.push_back(entry.m_record);
  }
  return records;
}

}  // namespace jackdawrack
