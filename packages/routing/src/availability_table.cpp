#include "routing/availability_table.h"

#include <algorithm>

namespace jackdawrack {

std::shared_ptr<ReplicaAvailability> AvailabilityTable::Find(
    const ReplicaRecord& record) {
  Entry& entry = m_entries[record.m_id];
  const std::uint64_t started_ms = record.m_incarnation.m_started_ms;
  if (entry.m_availability == nullptr || entry.m_started_ms != started_ms) {
    entry.m_started_ms = started_ms;
    entry.m_availability = std::make_shared<ReplicaAvailability>();
  }
  entry.m_unused_since = TimePoint::max();
  return entry.m_availability;
}

void AvailabilityTable::Forget(TimePoint now) {
  std::size_t remembered = 0;
  for (auto item = m_entries.begin(); item != m_entries.end();) {
    Entry& entry = item->second;
    if (entry.m_availability.use_count() > 1) {
      ++item;
      continue;
    }
    entry.m_unused_since = std::min(entry.m_unused_since, now);
    const bool has_said_something = entry.m_availability->IsLeaving() ||
                                    entry.m_availability->PausedUntil() > now;
    const bool is_kept = has_said_something &&
                         now - entry.m_unused_since < kRetention &&
                         ++remembered <= kMaxRemembered;
    item = is_kept ? std::next(item) : m_entries.erase(item);
  }
}

}  // namespace jackdawrack
