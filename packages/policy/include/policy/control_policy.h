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

/// Interval at which `ControlPolicy::OnTick` has to be called.
inline constexpr Milliseconds kControlTick{100};

/// A gap between ticks above this means that the process did not run.
inline constexpr Milliseconds kPauseLimit{2000};

/// Longest time that a starting instance waits for its peers' agreement.
inline constexpr Milliseconds kJoinLimit{5000};

/// Who this instance is.
struct ControlSettings {
  InstanceId m_id;
  FailureDomain m_domain;
  /// Seed of every random choice.
  std::uint64_t m_seed = 0;
};

/// A call to make; its end has to be reported under the same token.
struct ControlSend {
  Instance m_target;
  std::uint64_t m_token = 0;
  ControlMessage m_message;
};

/// A value that was offered to the store and not just kept.
struct ConfigNews {
  PublishedValue m_value;
  ConfigVerdict m_verdict = ConfigVerdict::kApplied;
  bool m_is_conflict = false;
  std::vector<IniProblem> m_problems;
};

/// What the policy decided since it was last asked.
struct ControlDecisions {
  std::vector<ControlSend> m_sends;
  std::vector<ConfigNews> m_news;
  /// True if the configuration or the live instances changed.
  bool m_is_view_changed = false;
  /// Time that the process did not run; 0 if it ran.
  Milliseconds m_paused_for{0};
};

/// Decides for one instance what to tell to whom: spreads configuration and
/// keeps the live view of the fleet.
///
/// A few instances of each domain watch the configuration service and push what
/// is new through a tree over their domain; one random peer a second is probed,
/// which also finds differences of configuration, now and then in another
/// domain. All methods are called by one thread at a time.
class ControlPolicy final {
 public:
  ControlPolicy(ControlSettings settings, TimePoint now);

  // Inputs

  /// Runs what is due.
  void OnTick(TimePoint now);

  /// Answers a call of `from`, an instance of `from_domain`.
  ControlMessage OnRequest(const InstanceId& from,
                           const FailureDomain& from_domain,
                           const ControlMessage& message,
                           TimePoint now);

  /// Takes the reply to a call; nothing means that none came.
  void OnReply(std::uint64_t token,
               const std::optional<ControlMessage>& reply,
               TimePoint now);

  /// The read of the configuration service to begin now, or nothing.
  std::optional<PlatformRead> NextPlatformRead(TimePoint now);

  /// Takes what a read brought; `revision` is the service's own.
  void OnPlatformRead(std::uint64_t revision,
                      const std::vector<PublishedValue>& values,
                      TimePoint now);

  /// Notes that a read failed.
  void OnPlatformFailed(TimePoint now);

  /// Tells the fleet that this instance leaves.
  void Leave(TimePoint now);

  // Decisions

  /// Takes the decisions made so far.
  ControlDecisions Take();

  // State

  /// Configuration in force, with the live view as its instances.
  [[nodiscard]] FleetState View() const;

  /// True once the configuration agrees with a peer and was read, or the stated
  /// time is over.
  [[nodiscard]] bool IsJoined() const { return m_joined; }

  /// When the configuration was last known to be current, if ever.
  [[nodiscard]] std::optional<TimePoint> CurrentAt() const {
    return m_current_at;
  }

  /// When a peer was last heard from.
  [[nodiscard]] TimePoint LastExchangeAt() const { return m_last_heard; }

  [[nodiscard]] bool IsWatcher() const { return m_watch.IsWatching(); }
  [[nodiscard]] const ConfigStore& Store() const { return m_store; }
  [[nodiscard]] const Membership& Members() const { return m_members; }

 private:
  struct Pending {
    Instance m_target;
    ControlKind m_kind = ControlKind::kProbe;
    TimePoint m_sent_at{};
    /// Instance that asked for this probe, or empty.
    InstanceId m_asked_by;
  };

  /// A push that waits whether another root is faster.
  struct DeferredPush {
    TimePoint m_due{};
    std::vector<PublishedValue> m_values;
  };

  // Time
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

  // Exchange
  void Send(const Instance& target,
            ControlMessage message,
            TimePoint now,
            InstanceId asked_by = {});
  void Stamp(ControlMessage& message,
             const FailureDomain& to_domain,
             const MemberNotice& receiver,
             TimePoint now);
  void Hear(const FailureDomain& from_domain,
            const ControlMessage& message,
            std::vector<MemberNotice>& news,
            TimePoint now);
  void OnAnswer(const Pending& pending,
                const ControlMessage& reply,
                TimePoint now);
  void OnPushed(const FailureDomain& from_domain,
                const ControlMessage& message,
                std::vector<MemberNotice> news,
                TimePoint now);

  // Configuration
  std::vector<PublishedValue> Offer(const std::vector<PublishedValue>& values);
  void PushFromHere(std::vector<PublishedValue> values, TimePoint now);
  void Relay(const InstanceId& root,
             const std::vector<PublishedValue>& values,
             const std::vector<MemberNotice>& notices,
             TimePoint now);
  void RunDeferredPushes(TimePoint now);
  std::vector<PublishedValue> TakeDeferred(
      const std::vector<PublishedValue>& values);
  void Confirm(TimePoint as_of);

  // Fleet
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

  // Live instances, from the membership
  std::uint64_t m_seen_view_version = 0;
  std::map<FailureDomain, std::vector<Instance>> m_live;
  std::vector<Instance> m_live_peers;
  std::vector<Instance> m_lost;
  std::vector<FailureDomain> m_other_domains;
  std::size_t m_watcher_rank = 0;

  // Calls
  std::uint64_t m_last_token = 0;
  std::map<std::uint64_t, Pending> m_pending;
  std::vector<DeferredPush> m_deferred;
  std::size_t m_next_peer = 0;

  // Times
  const Milliseconds m_isolation_limit;
  TimePoint m_started_at;
  TimePoint m_last_tick;
  TimePoint m_last_heard;
  TimePoint m_next_probe;
  TimePoint m_next_other_probe;
  TimePoint m_next_lost_probe;
  std::optional<TimePoint> m_extra_other_probe;
  std::optional<TimePoint> m_current_at;

  // Joining
  bool m_joined = false;
  bool m_has_read = false;
  bool m_has_agreed = false;

  // An instance list that the service holds below the rank in force
  std::optional<PublishedValue> m_regressed_list;
  TimePoint m_regressed_at{};
};

}  // namespace jackdawrack
