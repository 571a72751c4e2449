#include "exchange/update_source_policy.h"

#include <algorithm>

#include "exchange/store_reader_choice.h"

namespace jackdawrack {

UpdateSourcePolicy::UpdateSourcePolicy(InstanceId self,
                                       UpdateSourceSettings settings,
                                       TimePoint started_at)
    : m_self(std::move(self)), m_settings(settings), m_started_at(started_at) {}

void UpdateSourcePolicy::SetInstances(std::vector<PeerEntry> instances) {
  if (instances.size() < kMinInstancesForStoreReaders) {
    m_role = StoreRole::kAlone;
    m_readers.clear();
    return;
  }
  m_readers = ChooseStoreReaders(instances);
  const bool is_reader = std::erase_if(m_readers, [this](const auto& reader) {
                           return reader.m_id == m_self;
                         }) > 0;
  m_role = is_reader ? StoreRole::kReader : StoreRole::kFollower;
  SortReadersFor(m_self, m_readers);
}

void UpdateSourcePolicy::RecordReply(const InstanceId& reader,
                                     const ReportedView& view,
                                     TimePoint now) {
  if (view.m_age > m_settings.m_max_view_age) {
    PauseReader(reader, m_settings.m_stale_reader_pause, now);
    return;
  }
  m_failed_until.erase(reader);
  m_confirmed_at = std::max(m_confirmed_at, now - view.m_age);
  RecordOwnRevision(view.m_revision);
}

void UpdateSourcePolicy::RecordFailure(const InstanceId& reader,
                                       TimePoint now) {
  PauseReader(reader, m_settings.m_failed_reader_pause, now);
}

void UpdateSourcePolicy::PauseReader(const InstanceId& reader,
                                     Milliseconds pause,
                                     TimePoint now) {
  std::erase_if(m_failed_until,
                [now](const auto& item) { return item.second <= now; });
  m_failed_until[reader] = now + pause;
}

void UpdateSourcePolicy::RecordStoreResponse(TimePoint now) {
  m_confirmed_at = now;
}

void UpdateSourcePolicy::RecordPeerRevision(std::uint64_t peer_revision,
                                            std::uint64_t own_revision,
                                            TimePoint now) {
  if (peer_revision > own_revision && !m_behind_since) {
    m_peer_revision = peer_revision;
    m_behind_since = now;
  }
}

void UpdateSourcePolicy::RecordOwnRevision(std::uint64_t own_revision) {
  if (own_revision >= m_peer_revision) {
    m_behind_since.reset();
  }
}

bool UpdateSourcePolicy::IsViewStale(TimePoint now) const {
  return now - m_confirmed_at > m_settings.m_max_view_age;
}

bool UpdateSourcePolicy::IsBehind(TimePoint now) const {
  return m_behind_since &&
         now - *m_behind_since > m_settings.m_max_revision_lag;
}

std::optional<PeerEntry> UpdateSourcePolicy::NextReader(TimePoint now) const {
  const auto next = std::find_if(
      m_readers.begin(), m_readers.end(), [this, now](const PeerEntry& reader) {
        const auto failed = m_failed_until.find(reader.m_id);
        return failed == m_failed_until.end() || failed->second <= now;
      });
  return next == m_readers.end() ? std::nullopt : std::optional(*next);
}

UpdateSources UpdateSourcePolicy::Decide(TimePoint now) const {
  const Duration age = now - m_started_at;
  if (!m_is_discovery_over && age < m_settings.m_discovery_time) {
    const bool has_view = m_confirmed_at > TimePoint{};
    return UpdateSources{!has_view && age >= m_settings.m_first_read_delay,
                         std::nullopt};
  }
  const bool is_stale = IsViewStale(now);
  const auto reader = NextReader(now);
  if (m_role != StoreRole::kFollower) {
    return UpdateSources{true, is_stale ? reader : std::nullopt};
  }
  const bool has_waited_for_reader =
      now - m_started_at >=
      m_settings.m_discovery_time + m_settings.m_max_view_age;
  const bool is_out_of_date =
      (is_stale && has_waited_for_reader) || IsBehind(now);
  return UpdateSources{!reader || is_out_of_date, reader};
}

}  // namespace jackdawrack
