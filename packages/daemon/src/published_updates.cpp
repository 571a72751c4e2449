#include "published_updates.h"

#include "core/boot_clock.h"
#include "core/event.h"

namespace jackdawrack {
namespace {

/// Period in which the sources are chosen again.
constexpr Milliseconds kStepPeriod{50};

/// Delay after a poll that was answered early and without news, so that a
/// reader which does not wait is not polled in a tight loop.
constexpr Milliseconds kEmptyReplyDelay{200};

const char* RoleName(StoreRole role) {
  switch (role) {
    case StoreRole::kAlone:
      return "alone";
    case StoreRole::kReader:
      return "reader";
    case StoreRole::kFollower:
      return "follower";
  }
  return "";
}

}  // namespace

PublishedUpdates::PublishedUpdates(boost::asio::io_context& context,
                                   platform::StoreClient& store,
                                   PublishedState& state,
                                   PublishedUpdatesSettings settings,
                                   PublishedUpdatesPeers peers)
    : m_state(state),
      m_settings(std::move(settings)),
      m_peers(std::move(peers)),
      m_store_watcher(context, store, state, m_settings.m_alone),
      m_policy(m_settings.m_self, m_settings.m_sources, BootClock().Now()),
      m_relay(context, m_log, MakeRelaySources()),
      m_follower(context),
      m_step_timer(context) {
  m_store_watcher.OnApplied(
      [this](const AppliedChanges& applied) { OnApplied(applied); });
}

UpdateRelaySources PublishedUpdates::MakeRelaySources() {
  UpdateRelaySources sources;
  sources.m_view_age = [this] {
    return BootClock().Now() - m_policy.ConfirmedAt();
  };
  sources.m_make_snapshot = [this] { return MakeSnapshot(); };
  sources.m_readers = [this] { return m_policy.OtherReaders(); };
  return sources;
}

void PublishedUpdates::Start() {
  ChooseSources();
  ScheduleStep();
}

void PublishedUpdates::ScheduleStep() {
  m_step_timer.expires_after(kStepPeriod);
  m_step_timer.async_wait([this](boost::system::error_code error) {
    if (!error) {
      ScheduleStep();
      ChooseSources();
    }
  });
}

void PublishedUpdates::OnExchange(std::uint64_t peer_revision) {
  m_policy.RecordPeerRevision(peer_revision, Revision(), BootClock().Now());
  ChooseSources();
}

void PublishedUpdates::ChooseSources() {
  const TimePoint now = BootClock().Now();
  if (const auto snapshot = m_startup_snapshot.Take(now)) {
    ApplySnapshot(*snapshot);
  }
  const StoreRole previous_role = m_policy.Role();
  m_policy.SetInstances(m_peers.m_local_instances());
  if (m_peers.m_has_discovered_peers()) {
    m_policy.EndDiscovery();
  }
  const StoreRole role = m_policy.Role();
  const UpdateSources sources = m_policy.Decide(now);
  if (sources.m_reads_store != m_reads_store || role != previous_role) {
    LogEvent(
        EventId::kWatcherChanged,
        "role={} reads_store={} view_age_ms={} revision={}", RoleName(role),
        sources.m_reads_store,
        std::chrono::duration_cast<Milliseconds>(now - m_policy.ConfirmedAt())
            .count(),
        Revision());
  }
  ReadStore(sources.m_reads_store);
  if (sources.m_reader && !m_follower.IsPolling() && now >= m_next_poll_at) {
    PollReader(*sources.m_reader, now);
  }
}

void PublishedUpdates::ReadStore(bool reads_store) {
  switch (m_policy.Role()) {
    case StoreRole::kAlone:
      m_store_watcher.SetTiming(m_settings.m_alone);
      break;
    case StoreRole::kReader:
      m_store_watcher.SetTiming(m_settings.m_reader);
      break;
    case StoreRole::kFollower:
      m_store_watcher.SetTiming(m_settings.m_follower);
      break;
  }
  m_reads_store = reads_store;
  if (reads_store) {
    m_store_watcher.Start();
  } else {
    m_store_watcher.Stop();
  }
}

void PublishedUpdates::PollReader(const PeerEntry& reader, TimePoint now) {
  UpdateRequest request;
  request.m_sender = m_settings.m_self;
  request.m_revision = Revision();
  request.m_wait = m_settings.m_poll_wait;
  m_next_poll_at = now;
  m_follower.Poll(
      reader.m_endpoint, request,
      [this, id = reader.m_id](const std::optional<UpdateReply>& reply) {
        OnReply(id, reply);
      });
}

void PublishedUpdates::OnReply(const InstanceId& reader,
                               const std::optional<UpdateReply>& reply) {
  const TimePoint now = BootClock().Now();
  if (!reply) {
    m_policy.RecordFailure(reader, now);
    ChooseSources();
    return;
  }
  m_peers.m_merge_entries(reply->m_readers);
  const std::uint64_t previous_revision = Revision();
  const bool is_confirmed =
      reply->m_view_age <= m_settings.m_sources.m_max_view_age;
  if (reply->m_snapshot && is_confirmed) {
    ApplySnapshot(*reply->m_snapshot);
  } else if (reply->m_snapshot) {
    OfferSnapshot(*reply->m_snapshot);
  } else {
    m_store_watcher.ApplyChanges({reply->m_changes, reply->m_revision});
  }
  m_policy.RecordReply(reader, {reply->m_view_age, Revision()}, now);
  const bool was_early = now - m_next_poll_at < m_settings.m_poll_wait / 2;
  if (was_early && Revision() == previous_revision) {
    m_next_poll_at = now + kEmptyReplyDelay;
  }
  ChooseSources();
}

void PublishedUpdates::OnApplied(const AppliedChanges& applied) {
  if (m_store_watcher.LastResponseAt() > m_policy.ConfirmedAt()) {
    m_policy.RecordStoreResponse(m_store_watcher.LastResponseAt());
  }
  m_policy.RecordOwnRevision(Revision());
  const PublishedChanges& changes = applied.m_changes;
  if (applied.m_is_listing) {
    m_log.Restart(changes.m_revision);
  } else if (changes.m_revision > applied.m_from_revision) {
    m_log.Append(MakeRelayed(changes), applied.m_from_revision);
  }
  m_relay.OnLogChanged();
}

// After an outage a removal only marks a record as missing; followers, which
// have not seen the outage, have to do the same.
PublishedChanges PublishedUpdates::MakeRelayed(
    const PublishedChanges& changes) const {
  PublishedChanges relayed = changes;
  for (PublishedChange& change : relayed.m_changes) {
    const auto* removal = std::get_if<ReplicaRemoval>(&change);
    if (removal != nullptr && m_state.Directory().IsMissing(removal->m_id)) {
      change = MissingReplica{removal->m_id};
    }
  }
  return relayed;
}

std::optional<PublishedSnapshot> PublishedUpdates::MakeSnapshot() const {
  if (!m_state.IsComplete()) {
    return std::nullopt;
  }
  return PublishedSnapshot{Revision(), m_state.Table()->Config(),
                           m_state.Directory().Records(),
                           m_state.Directory().MissingIds()};
}

void PublishedUpdates::OfferSnapshot(const PublishedSnapshot& snapshot) {
  if (Revision() == 0) {
    m_startup_snapshot.Offer(snapshot, BootClock().Now());
  } else {
    ApplySnapshot(snapshot);
  }
}

void PublishedUpdates::ApplySnapshot(const PublishedSnapshot& snapshot) {
  std::vector<PublishedChange> listing{snapshot.m_config};
  listing.insert(listing.end(), snapshot.m_replicas.begin(),
                 snapshot.m_replicas.end());
  for (const UpstreamId& missing : snapshot.m_missing_replicas) {
    listing.emplace_back(MissingReplica{missing});
  }
  m_store_watcher.ApplySnapshot(listing, snapshot.m_revision);
}

bool PublishedUpdates::IsStoreLost() const {
  if (m_policy.Role() != StoreRole::kFollower) {
    return m_store_watcher.IsStoreLost();
  }
  return Revision() == 0 || m_policy.IsViewStale(BootClock().Now());
}

}  // namespace jackdawrack
