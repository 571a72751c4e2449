#include "exchange/change_log.h"

namespace jackdawrack {

void ChangeLog::Restart(std::uint64_t revision) {
  m_entries.clear();
  m_base_revision = revision;
  m_revision = revision;
}

void ChangeLog::Append(const PublishedChanges& changes,
                       std::uint64_t from_revision) {
  if (from_revision != m_revision) {
    Restart(from_revision);
  }
  for (const PublishedChange& change : changes.m_changes) {
    if (std::holds_alternative<UnreadableValue>(change)) {
      continue;
    }
    // A configuration replaces all earlier ones
    if (std::holds_alternative<RoutingConfig>(change)) {
      std::erase_if(m_entries, [](const Entry& entry) {
        return std::holds_alternative<RoutingConfig>(entry.m_change);
      });
    }
    m_entries.push_back(Entry{changes.m_revision, change});
  }
  m_revision = changes.m_revision;
  DropOldest();
}

void ChangeLog::DropOldest() {
  while (m_entries.size() > kMaxChanges) {
    m_base_revision = m_entries.front().m_revision;
    m_entries.pop_front();
  }

  // The rest of a batch is useless without its beginning
  while (!m_entries.empty() &&
         m_entries.front().m_revision <= m_base_revision) {
    m_entries.pop_front();
  }
}

std::optional<PublishedChanges> ChangeLog::ChangesAfter(
    std::uint64_t revision) const {
  if (revision < m_base_revision) {
    return std::nullopt;
  }
  PublishedChanges changes;
  changes.m_revision = m_revision;
  for (const Entry& entry : m_entries) {
    if (entry.m_revision > revision) {
      changes.m_changes.push_back(entry.m_change);
    }
  }
  return changes;
}

}  // namespace jackdawrack
