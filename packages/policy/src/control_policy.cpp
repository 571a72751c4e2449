#include "policy/control_policy.h"

#include <algorithm>
#include <utility>

#include "control_timing.h"
#include "core/hash.h"
#include "policy/spread_plan.h"

namespace jackdawrack {
ControlPolicy::ControlPolicy(ControlSettings settings, TimePoint now)
    : m_settings(std::move(settings)),
      m_random(m_settings.m_seed),
      m_members(m_settings.m_id, m_settings.m_domain),
      m_watch(m_settings.m_seed),
      m_isolation_limit(
          kIsolationLimit +
          Milliseconds(m_random() %
                       static_cast<std::uint64_t>(kIsolationSpread.count()))),
      m_started_at(now),
      m_last_tick(now),
      m_last_heard(now),
      m_next_probe(now),
      m_next_other_probe(now),
      m_next_lost_probe(now) {
  m_watch.SetWatching(true);
}

void ControlPolicy::OnTick(TimePoint now) {
  if (now - m_last_tick > kPauseThreshold) {
    OnWake(now);
  }
  m_last_tick = now;
  ExpireCalls(now);
  m_members.Tick(now);
  RefreshView();
  UpdateJoined(now);
  UpdateWatching(now);
  UpdateListRegress(now);
  RunDeferredPushes(now);
  ProbeWhatIsDue(now);
}

void ControlPolicy::OnWake(TimePoint now) {
  m_decisions.m_paused_for =
      std::chrono::duration_cast<Milliseconds>(now - m_last_tick);

  // State from before the pause may be outdated: drop pending calls and pushes,
  // restart timeouts and read all values again
  m_pending.clear();
  m_deferred.clear();
  m_members.RestartSuspicions(now);
  m_watch.ReadAll();
  m_last_heard = now;
  m_next_probe = now;
  m_next_other_probe = now;
}

void ControlPolicy::ExpireCalls(TimePoint now) {
  std::vector<Pending> expired;
  std::erase_if(m_pending, [&](const auto& entry) {
    if (now - entry.second.m_sent_at < kCallTimeout) {
      return false;
    }
    expired.push_back(entry.second);
    return true;
  });
  for (const Pending& pending : expired) {
    OnCallFailed(pending, now);
  }
}

void ControlPolicy::UpdateJoined(TimePoint now) {
  if (m_joined || m_store.Find(std::string(kInstanceListName)) == nullptr) {
    return;
  }
  const bool has_peers = !m_live_peers.empty() || !m_other_domains.empty();
  const bool is_proved = m_has_read && (m_has_agreed || !has_peers);
  m_joined = is_proved || now - m_started_at >= kJoinTimeout;
}

void ControlPolicy::UpdateWatching(TimePoint now) {
  // Add watchers while the regular ones do not deliver a current configuration
  std::size_t watchers = kWatchersPerDomain;
  const auto age = now - m_current_at.value_or(m_started_at);
  if (age > kStaleLimit) {
    const auto steps =
        static_cast<std::size_t>((age - kStaleLimit) / kEscalationStep);
    watchers += std::min(steps, kMaxExtraWatchers);
  }
  const bool is_alone = now - m_last_heard > m_isolation_limit;
  m_watch.SetWatching(!m_joined || is_alone || m_watcher_rank < watchers);
}

std::optional<PlatformRead> ControlPolicy::NextPlatformRead(TimePoint now) {
  return m_watch.NextRead(now);
}

void ControlPolicy::OnPlatformRead(std::uint64_t revision,
                                   const std::vector<PublishedValue>& values,
                                   TimePoint now) {
  const TimePoint as_of = m_watch.StartedAt();
  m_watch.OnRead(revision, now);
  std::vector<PublishedValue> offered = values;
  const PublishedValue* held = m_store.Find(std::string(kInstanceListName));
  for (PublishedValue& value : offered) {
    if (value.m_name == kInstanceListName && held != nullptr) {
      value.m_generation = held->m_generation;
      const bool is_older = value.m_revision < held->m_revision;
      const bool is_other = value.m_text != held->m_text;
      if (is_older && is_other && !m_regressed_list) {
        m_regressed_at = now;
      }
      m_regressed_list =
          is_older && is_other ? std::optional(value) : std::nullopt;
    }
  }
  std::vector<PublishedValue> applied = Offer(offered);
  m_has_read = true;
  Confirm(as_of);
  RefreshView();
  UpdateJoined(now);

  // Defer the push by rank, so that usually only the first watcher pushes
  if (m_joined && !applied.empty()) {
    const auto turn =
        static_cast<std::int64_t>(std::min(m_watcher_rank, kWatchersPerDomain));
    m_deferred.push_back(
        DeferredPush{now + turn * kPushTurn, std::move(applied)});
    RunDeferredPushes(now);
  }
}

void ControlPolicy::OnPlatformFailed(TimePoint now) {
  m_watch.OnFailed(now);
}

void ControlPolicy::UpdateListRegress(TimePoint now) {
  if (!m_regressed_list || now - m_regressed_at < kRegressHold) {
    return;
  }
  // The service was restored to an older state: publish its list under the next
  // generation, so that it ranks above the list in force
  PublishedValue value = *m_regressed_list;
  m_regressed_list.reset();
  const PublishedValue* held = m_store.Find(value.m_name);
  if (held == nullptr || held->m_generation != value.m_generation ||
      held->m_text == value.m_text || !m_watch.IsWatching()) {
    return;
  }
  ++value.m_generation;
  PushFromHere(Offer({value}), now);
  RefreshView();
}

void ControlPolicy::Leave(TimePoint now) {
  m_members.AnnounceLeaving();
  RefreshView();
  m_decisions.m_is_view_changed = true;
  Relay(m_settings.m_id, {}, {m_members.Self()}, now);
  for (const FailureDomain& domain : m_other_domains) {
    ControlMessage message;
    message.m_kind = ControlKind::kPush;
    message.m_tree_root = m_settings.m_id;
    Send(Pick(m_live.at(domain)), std::move(message), now);
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

void ControlPolicy::Confirm(TimePoint as_of) {
  m_current_at = std::max(m_current_at.value_or(as_of), as_of);
}

void ControlPolicy::RefreshView() {
  if (m_members.ViewVersion() == m_seen_view_version) {
    return;
  }
  m_seen_view_version = m_members.ViewVersion();
  m_decisions.m_is_view_changed = true;
  m_live.clear();
  m_live_peers.clear();
  m_lost.clear();
  m_other_domains.clear();
  for (const Instance& instance : m_members.Instances()) {
    const bool is_self = instance.m_id == m_settings.m_id;
    if (instance.m_state != InstanceState::kLive) {
      if (!is_self) {
        m_lost.push_back(instance);
      }
      continue;
    }
    m_live[instance.m_domain].push_back(instance);
    if (!is_self && instance.m_domain == m_settings.m_domain) {
      m_live_peers.push_back(instance);
    }
  }
  for (const auto& [domain, instances] : m_live) {
    if (domain != m_settings.m_domain) {
      m_other_domains.push_back(domain);
    }
  }
  std::shuffle(m_live_peers.begin(), m_live_peers.end(), m_random);
  m_watcher_rank = WatcherRank(m_live[m_settings.m_domain], m_settings.m_id);
}

const Instance* ControlPolicy::FindInstance(const InstanceId& id) const {
  const std::vector<Instance>& all = m_members.Instances();
  const auto found = std::find_if(
      all.begin(), all.end(),
      [&](const Instance& instance) { return instance.m_id == id; });
  return found == all.end() ? nullptr : &*found;
}

Milliseconds ControlPolicy::Jitter(Milliseconds period) {
  const std::int64_t quarter = period.count() / 4;
  std::uniform_int_distribution<std::int64_t> spread(-quarter, quarter);
  return period + Milliseconds(spread(m_random));
}

const Instance& ControlPolicy::Pick(const std::vector<Instance>& instances) {
  std::uniform_int_distribution<std::size_t> place(0, instances.size() - 1);
  return instances[place(m_random)];
}

}  // namespace jackdawrack
