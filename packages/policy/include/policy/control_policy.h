#pragma once

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/clock.h"
#include "model/instance.h"
#include "policy/config_store.h"
#include "policy/control_message.h"
#include "policy/membership.h"
#include "policy/platform_watch.h"

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
  /// has to be reported to `OnPlatformRead` or `OnPlatformFailed`.
  std::optional<PlatformRead> NextPlatformRead(TimePoint now);

  /// Reports the changed values of a read and the configuration service's
  /// `revision`.
  void OnPlatformRead(std::uint64_t revision,
                      const std::vector<PublishedValue>& values,
                      TimePoint now);

  /// Reports that a read failed.
  void OnPlatformFailed(TimePoint now);

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
    return m_current_at;
  }

  /// Time of the last message from another instance.
  [[nodiscard]] TimePoint LastExchangeAt() const { return m_last_heard; }

  /// True if this instance watches the configuration service.
  [[nodiscard]] bool IsWatcher() const { return m_watch.IsWatching(); }
  [[nodiscard]] const ConfigStore& Store() const { return m_store; }
  [[nodiscard]] const Membership& Members() const { return m_members; }

 private:
  /// A call that was sent and not yet answered.
  struct Pending {
    Instance m_target;
    ControlKind m_kind = ControlKind::kProbe;
    TimePoint m_sent_at{};
    /// Instance that requested this indirect probe, or empty.
    InstanceId m_asked_by;
  };

  /// Values to push unless a push from another watcher delivers them first.
  struct DeferredPush {
    TimePoint m_due{};
    std::vector<PublishedValue> m_values;
  };

  // Timers
  void OnWake(TimePoint now);
  void ExpireCalls(TimePoint now);
  void UpdateJoined(TimePoint now);
  void UpdateWatching(TimePoint now);
  void UpdateListRegress(TimePoint now);

  // Probing
  void ProbeWhatIsDue(TimePoint now);
  void ProbeOwnDomain(TimePoint now);
  void ProbeOtherDomain(TimePoint now);
  void ProbeLost(TimePoint now);
  void Probe(const Instance& target, InstanceId asked_by, TimePoint now);
  void OnCallFailed(const Pending& pending, TimePoint now);

  // Messages
  void Send(const Instance& target,
            ControlMessage message,
            TimePoint now,
            InstanceId asked_by = {});
  void Stamp(ControlMessage& message,
             const FailureDomain& to_domain,
             const MemberStatus& receiver,
             TimePoint now);
  void Hear(const FailureDomain& from_domain,
            const ControlMessage& message,
            std::vector<MemberStatus>& news,
            TimePoint now);
  void OnAnswer(const Pending& pending,
                const ControlMessage& reply,
                TimePoint now);
  void OnPushed(const FailureDomain& from_domain,
                const ControlMessage& message,
                std::vector<MemberStatus> news,
                TimePoint now);

  // Configuration
  std::vector<PublishedValue> Offer(const std::vector<PublishedValue>& values);
  void PushFromHere(std::vector<PublishedValue> values, TimePoint now);
  void Relay(const InstanceId& root,
             const std::vector<PublishedValue>& values,
             const std::vector<MemberStatus>& notices,
             TimePoint now);
  void RunDeferredPushes(TimePoint now);
  std::vector<PublishedValue> TakeDeferred(
      const std::vector<PublishedValue>& values);
  void Confirm(TimePoint as_of);

  // Instances
  void RefreshView();
  [[nodiscard]] const Instance* FindInstance(const InstanceId& id) const;
  Milliseconds Jitter(Milliseconds period);
  const Instance& Pick(const std::vector<Instance>& instances);

  const ControlSettings m_settings;
  std::mt19937_64 m_random;
  ConfigStore m_store;
  Membership m_members;
  PlatformWatch m_watch;
  ControlDecisions m_decisions;

  // Live and other instances, derived from `m_members` by `RefreshView`
  std::uint64_t m_seen_view_version = 0;
  std::map<FailureDomain, std::vector<Instance>> m_live;
  std::vector<Instance> m_live_peers;
  std::vector<Instance> m_lost;
  std::vector<FailureDomain> m_other_domains;
  std::size_t m_watcher_rank = 0;

  // Pending calls and pushes
  std::uint64_t m_last_token = 0;
  std::map<std::uint64_t, Pending> m_pending;
  std::vector<DeferredPush> m_deferred;
  std::size_t m_next_peer = 0;

  // Timers
  const Milliseconds m_isolation_limit;
  TimePoint m_started_at;
  TimePoint m_last_tick;
  TimePoint m_last_heard;
  TimePoint m_next_probe;
  TimePoint m_next_other_probe;
  TimePoint m_next_lost_probe;
  std::optional<TimePoint> m_extra_other_probe;
  std::optional<TimePoint> m_current_at;

  // Join progress
  bool m_joined = false;
  bool m_has_read = false;
  bool m_has_agreed = false;

  // Instance list at the configuration service if it is older than the list in
  // force, and when that was first seen
  std::optional<PublishedValue> m_regressed_list;
  TimePoint m_regressed_at{};
};

}  // namespace jackdawrack
