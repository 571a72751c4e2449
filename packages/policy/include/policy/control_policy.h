#pragma once

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/clock.h"
#include "model/instance.h"
#include "policy/config_service_watch.h"
#include "policy/config_store.h"
#include "policy/control_message.h"
#include "policy/membership.h"

namespace jackdawrack {

/// Interval at which the owner has to call `ControlPolicy::OnTick`.
inline constexpr Milliseconds kControlTickInterval{100};

/// A longer gap between two ticks is treated as a pause of the process.
inline constexpr Milliseconds kPauseThreshold{2000};

/// Maximum time after the start until an instance that holds an instance list
/// counts as joined, even if its configuration was not verified.
inline constexpr Milliseconds kJoinTimeout{5000};

/// Identity of this instance.
struct ControlSettings {
  InstanceId m_id;
  FailureDomain m_domain;
  /// Seed for all random choices.
  std::uint64_t m_seed = 0;
};

/// A control call to send; its result has to be reported to
/// `ControlPolicy::OnReply` with the same token.
struct OutgoingControlCall {
  Instance m_target;
  std::uint64_t m_token = 0;
  ControlMessage m_message;
};

/// Outcome of merging one value that was applied, refused or found to conflict
/// with another text of the same version.
struct ConfigMergeReport {
  PublishedValue m_value;
  ConfigMergeResult m_result = ConfigMergeResult::kApplied;
  /// True if this value revealed the conflict.
  bool m_is_conflict = false;
  /// Reasons for a refusal.
  std::vector<IniProblem> m_problems;
};

/// Actions and results accumulated since the last call of
/// `ControlPolicy::TakeDecisions`.
struct ControlDecisions {
  std::vector<OutgoingControlCall> m_outgoing_calls;
  std::vector<ConfigMergeReport> m_merge_reports;
  /// True if the configuration or the set of live instances changed.
  bool m_is_view_changed = false;
  /// Duration of a detected pause of the process, or 0.
  Milliseconds m_paused_for{0};
};

/// Control plane of one instance: distributes the configuration, detects failed
/// instances and maintains the view of live instances. It performs no I/O; the
/// owner reports inputs and carries out the decisions.
///
/// A few instances of each failure domain, the watchers, watch the
/// configuration service and push changes along a tree that spans their domain.
/// About once a second an instance also probes a peer of its own domain and,
/// less often, an instance of another domain. A probe compares configuration
/// hashes, so that a missed push is repaired. Not thread-safe.
class ControlPolicy final {
 public:
  /// Starts at `now`; watches the configuration service until it has joined.
  ControlPolicy(ControlSettings settings, TimePoint now);

  // Inputs

  /// Runs all timers that are due and detects pauses of the process.
  void OnTick(TimePoint now);

  /// Handles a call from instance `from` in `from_domain`; returns the reply.
  ControlMessage OnRequest(const InstanceId& from,
                           const FailureDomain& from_domain,
                           const ControlMessage& message,
                           TimePoint now);

  /// Reports the reply to a call, or `nullopt` if the call failed.
  void OnReply(std::uint64_t token,
               const std::optional<ControlMessage>& reply,
               TimePoint now);

  /// Read of the configuration service to start now, if one is due. Its result
  /// has to be reported to `OnConfigServiceRead` or
  /// `OnConfigServiceReadFailed`.
  std::optional<ConfigServiceRead> NextConfigServiceRead(TimePoint now);

  /// Reports the changed values of a read and the configuration service's
  /// `revision`.
  void OnConfigServiceRead(std::uint64_t revision,
                           const std::vector<PublishedValue>& values,
                           TimePoint now);

  /// Reports that a read failed.
  void OnConfigServiceReadFailed(TimePoint now);

  /// Announces to all domains that this instance is leaving the fleet.
  void Leave(TimePoint now);

  // Decisions

  /// Returns the accumulated decisions and clears them.
  ControlDecisions TakeDecisions();

  // State

  /// Configuration in force, with the instances as seen by the membership.
  [[nodiscard]] FleetState MakeFleetState() const;

  /// True once the configuration has been read and matches that of a peer (if
  /// there is one), or `kJoinTimeout` has passed. Requires an instance list.
  [[nodiscard]] bool IsJoined() const { return m_joined; }

  /// Latest time at which the configuration was known to be current, if any.
  [[nodiscard]] std::optional<TimePoint> ConfigConfirmedAt() const {
    return m_config_confirmed_at;
  }

  /// Time of the last message from another instance.
  [[nodiscard]] TimePoint LastExchangeAt() const { return m_last_message_at; }

  /// True if this instance watches the configuration service.
  [[nodiscard]] bool IsWatcher() const { return m_watch.IsWatching(); }

  /// Published values in force.
  [[nodiscard]] const ConfigStore& Store() const { return m_store; }

  /// Known status of each instance.
  [[nodiscard]] const Membership& Members() const { return m_members; }

 private:
  /// A call that was sent and not yet answered.
  struct PendingCall {
    Instance m_target;
    ControlKind m_kind = ControlKind::kProbe;
    TimePoint m_sent_at{};
    /// Instance that requested this indirect probe, or empty.
    InstanceId m_requested_by;
  };

  /// Values to push unless a push from another watcher delivers them first.
  struct DeferredPush {
    TimePoint m_due{};
    std::vector<PublishedValue> m_values;
  };

  // Timers
  void OnResume(TimePoint now);
  void ExpireCalls(TimePoint now);
  void UpdateJoined(TimePoint now);
  void UpdateWatching(TimePoint now);
  void UpdateListRollback(TimePoint now);

  // Probing
  void RunDueProbes(TimePoint now);
  void ProbeOwnDomain(TimePoint now);
  void ProbeOtherDomain(TimePoint now);
  void ProbeNonLive(TimePoint now);
  void Probe(const Instance& target, InstanceId requested_by, TimePoint now);
  void OnCallFailed(const PendingCall& pending, TimePoint now);

  // Messages
  void Send(const Instance& target,
            ControlMessage message,
            TimePoint now,
            InstanceId requested_by = {});
  void AddSenderState(ControlMessage& message,
                      const FailureDomain& to_domain,
                      const MemberStatus& receiver,
                      TimePoint now);
  void MergeMemberStatuses(const FailureDomain& from_domain,
                           const ControlMessage& message,
                           std::vector<MemberStatus>& changed,
                           TimePoint now);
  void OnCallAnswered(const PendingCall& pending,
                      const ControlMessage& reply,
                      TimePoint now);
  void OnPush(const FailureDomain& from_domain,
              const ControlMessage& message,
              std::vector<MemberStatus> changed,
              TimePoint now);

  // Configuration
  std::vector<PublishedValue> MergeValues(
      const std::vector<PublishedValue>& values);
  void StartPush(std::vector<PublishedValue> values, TimePoint now);
  void SendToTreeChildren(const InstanceId& root,
                          const std::vector<PublishedValue>& values,
                          const std::vector<MemberStatus>& statuses,
                          TimePoint now);
  void RunDeferredPushes(TimePoint now);
  std::vector<PublishedValue> TakeDeferredValues(
      const std::vector<PublishedValue>& values);
  void ConfirmConfig(TimePoint as_of);

  // Instances
  void RefreshView();
  [[nodiscard]] const Instance* FindInstance(const InstanceId& id) const;
  Milliseconds AddJitter(Milliseconds period);
  const Instance& PickRandom(const std::vector<Instance>& instances);

  const ControlSettings m_settings;
  std::mt19937_64 m_random;
  ConfigStore m_store;
  Membership m_members;
  ConfigServiceWatch m_watch;
  ControlDecisions m_decisions;

  // Instances by state and domain, derived from `m_members` by `RefreshView`
  std::uint64_t m_last_view_version = 0;
  std::map<FailureDomain, std::vector<Instance>> m_live_by_domain;
  std::vector<Instance> m_live_peers;
  std::vector<Instance> m_non_live;
  std::vector<FailureDomain> m_other_domains;
  std::size_t m_watcher_rank = 0;

  // Pending calls and pushes
  std::uint64_t m_last_token = 0;
  std::map<std::uint64_t, PendingCall> m_pending_calls;
  std::vector<DeferredPush> m_deferred_pushes;
  std::size_t m_next_peer_index = 0;

  // Timers
  const Milliseconds m_isolation_timeout;
  TimePoint m_started_at;
  TimePoint m_last_tick_at;
  TimePoint m_last_message_at;
  TimePoint m_next_probe_at;
  TimePoint m_next_other_domain_probe_at;
  TimePoint m_next_non_live_probe_at;
  std::optional<TimePoint> m_extra_probes_at;
  std::optional<TimePoint> m_config_confirmed_at;

  // Join progress
  bool m_joined = false;
  bool m_has_read_config = false;
  bool m_has_matched_peer = false;

  // Instance list at the configuration service if it is older than the list in
  // force, and when that was first seen
  std::optional<PublishedValue> m_rolled_back_list;
  TimePoint m_rolled_back_at{};
};

}  // namespace jackdawrack
