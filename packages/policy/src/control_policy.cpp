#include "policy/control_policy.h"

#include <algorithm>
#include <utility>

#include "control_timing.h"
#include "core/hash.h"
#include "policy/push_topology.h"

namespace jackdawrack {

ControlPolicy::ControlPolicy(ControlSettings settings, TimePoint now)
    : m_settings(std::move(settings)),
      m_random(m_settings.m_seed),
      m_members(m_settings.m_id, m_settings.m_domain),
      m_watch(m_settings.m_seed),
      m_isolation_timeout(
          kIsolationTimeout +
          Milliseconds(m_random() % static_cast<std::uint64_t>(
                                        kIsolationTimeoutJitter.count()))),
      m_started_at(now),
      m_last_tick_at(now),
      m_last_message_at(now),
      m_next_probe_at(now),
      m_next_other_domain_probe_at(now),
      m_next_non_live_probe_at(now) {
  m_watch.SetWatching(true);
}

void ControlPolicy::OnTick(TimePoint now) {
  if (now - m_last_tick_at > kPauseThreshold) {
    OnResume(now);
  }
  m_last_tick_at = now;
  ExpireCalls(now);
  m_members.ExpireSuspicions(now);
  RefreshView();
  UpdateJoined(now);
  UpdateWatching(now);
  UpdateListRollback(now);
  RunDeferredPushes(now);
  RunDueProbes(now);
}

void ControlPolicy::OnResume(TimePoint now) {
  m_decisions.m_paused_for =
      std::chrono::duration_cast<Milliseconds>(now - m_last_tick_at);

  // State from before the pause may be outdated: drop pending calls and pushes,
  // restart timeouts and read all values again
  m_pending_calls.clear();
  m_deferred_pushes.clear();
  m_members.RestartSuspicionTimeouts(now);
  m_watch.RequestFullRead();
  m_last_message_at = now;
  m_next_probe_at = now;
  m_next_other_domain_probe_at = now;
}

void ControlPolicy::ExpireCalls(TimePoint now) {
  std::vector<PendingCall> expired;
  std::erase_if(m_pending_calls, [&](const auto& entry) {
    if (now - entry.second.m_sent_at < kCallTimeout) {
      return false;
    }
    expired.push_back(entry.second);
    return true;
  });
  for (const PendingCall& pending : expired) {
    OnCallFailed(pending, now);
  }
}

void ControlPolicy::UpdateJoined(TimePoint now) {
  if (m_joined || m_store.Find(std::string(kInstanceListName)) == nullptr) {
    return;
  }
  const bool has_peers = !m_live_peers.empty() || !m_other_domains.empty();
  const bool is_verified =
      m_has_read_config && (m_has_matched_peer || !has_peers);
  m_joined = is_verified || now - m_started_at >= kJoinTimeout;
}

void ControlPolicy::UpdateWatching(TimePoint now) {
  // Add watchers while the regular ones do not deliver a current configuration
  std::size_t watchers = kWatchersPerDomain;
  const auto age = now - m_config_confirmed_at.value_or(m_started_at);
  if (age > kStaleConfigAge) {
    const auto extra_watchers = static_cast<std::size_t>(
        (age - kStaleConfigAge) / kExtraWatcherInterval);
    watchers += std::min(extra_watchers, kMaxExtraWatchers);
  }
  const bool is_isolated = now - m_last_message_at > m_isolation_timeout;
  m_watch.SetWatching(!m_joined || is_isolated || m_watcher_rank < watchers);
}

std::optional<ConfigServiceRead> ControlPolicy::NextConfigServiceRead(
    TimePoint now) {
  return m_watch.NextRead(now);
}

void ControlPolicy::OnConfigServiceRead(
    std::uint64_t revision,
    const std::vector<PublishedValue>& values,
    TimePoint now) {
  const TimePoint as_of = m_watch.ReadStartedAt();
  m_watch.OnRead(revision, now);
  std::vector<PublishedValue> received = values;
  const PublishedValue* current = m_store.Find(std::string(kInstanceListName));
  for (PublishedValue& value : received) {
    if (value.m_name == kInstanceListName && current != nullptr) {
      value.m_generation = current->m_generation;
      const bool is_older = value.m_revision < current->m_revision;
      const bool is_different = value.m_text != current->m_text;
      if (is_older && is_different && !m_rolled_back_list) {
        m_rolled_back_at = now;
      }
      m_rolled_back_list =
          is_older && is_different ? std::optional(value) : std::nullopt;
    }
  }
  std::vector<PublishedValue> applied = MergeValues(received);
  m_has_read_config = true;
  ConfirmConfig(as_of);
  RefreshView();
  UpdateJoined(now);

  // Defer the push by rank, so that usually only the first watcher pushes
  if (m_joined && !applied.empty()) {
    const auto rank =
        static_cast<std::int64_t>(std::min(m_watcher_rank, kWatchersPerDomain));
    m_deferred_pushes.push_back(
        DeferredPush{now + rank * kPushDelayPerRank, std::move(applied)});
    RunDeferredPushes(now);
  }
}

void ControlPolicy::OnConfigServiceReadFailed(TimePoint now) {
  m_watch.OnReadFailed(now);
}

void ControlPolicy::UpdateListRollback(TimePoint now) {
  if (!m_rolled_back_list || now - m_rolled_back_at < kListRollbackDelay) {
    return;
  }
  // The service was restored to an older state: apply its list with the next
  // generation, so that it ranks above the list in force
  PublishedValue value = *m_rolled_back_list;
  m_rolled_back_list.reset();
  const PublishedValue* current = m_store.Find(value.m_name);
  if (current == nullptr || current->m_generation != value.m_generation ||
      current->m_text == value.m_text || !m_watch.IsWatching()) {
    return;
  }
  ++value.m_generation;
  StartPush(MergeValues({value}), now);
  RefreshView();
}

void ControlPolicy::Leave(TimePoint now) {
  m_members.AnnounceLeaving();
  RefreshView();
  m_decisions.m_is_view_changed = true;
  SendToTreeChildren(m_settings.m_id, {}, {m_members.OwnStatus()}, now);
  for (const FailureDomain& domain : m_other_domains) {
    ControlMessage message;
    message.m_kind = ControlKind::kPush;
    message.m_tree_root = m_settings.m_id;
    Send(PickRandom(m_live_by_domain.at(domain)), std::move(message), now);
  }
}

ControlDecisions ControlPolicy::TakeDecisions() {
  return std::exchange(m_decisions, {});
}

FleetState ControlPolicy::MakeFleetState() const {
  FleetState state = m_store.State();
  state.m_instances = m_members.Instances();
  return state;
}

void ControlPolicy::ConfirmConfig(TimePoint as_of) {
  m_config_confirmed_at =
      std::max(m_config_confirmed_at.value_or(as_of), as_of);
}

void ControlPolicy::RefreshView() {
  if (m_members.ViewVersion() == m_last_view_version) {
    return;
  }
  m_last_view_version = m_members.ViewVersion();
  m_decisions.m_is_view_changed = true;
  m_live_by_domain.clear();
  m_live_peers.clear();
  m_non_live.clear();
  m_other_domains.clear();
  for (const Instance& instance : m_members.Instances()) {
    const bool is_self = instance.m_id == m_settings.m_id;
    if (instance.m_state != InstanceState::kLive) {
      if (!is_self) {
        m_non_live.push_back(instance);
      }
      continue;
    }
    m_live_by_domain[instance.m_domain].push_back(instance);
    if (!is_self && instance.m_domain == m_settings.m_domain) {
      m_live_peers.push_back(instance);
    }
  }
  for (const auto& [domain, instances] : m_live_by_domain) {
    if (domain != m_settings.m_domain) {
      m_other_domains.push_back(domain);
    }
  }
  std::shuffle(m_live_peers.begin(), m_live_peers.end(), m_random);
  m_watcher_rank =
      WatcherRank(m_live_by_domain[m_settings.m_domain], m_settings.m_id);
}

const Instance* ControlPolicy::FindInstance(const InstanceId& id) const {
  const std::vector<Instance>& all = m_members.Instances();
  const auto found = std::find_if(
      all.begin(), all.end(),
      [&](const Instance& instance) { return instance.m_id == id; });
  return found == all.end() ? nullptr : &*found;
}

Milliseconds ControlPolicy::AddJitter(Milliseconds period) {
  const std::int64_t quarter = period.count() / 4;
  std::uniform_int_distribution<std::int64_t> jitter_ms(-quarter, quarter);
  return period + Milliseconds(jitter_ms(m_random));
}

const Instance& ControlPolicy::PickRandom(
    const std::vector<Instance>& instances) {
  std::uniform_int_distribution<std::size_t> index(0, instances.size() - 1);
  return instances[index(m_random)];
}

}  // namespace jackdawrack
