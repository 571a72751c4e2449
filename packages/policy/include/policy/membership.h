#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/clock.h"
#include "model/instance.h"
#include "policy/control_message.h"

namespace jackdawrack {

/// Time that a suspected instance has to refute the suspicion.
inline constexpr Milliseconds kSuspicionTimeout{3000};

/// Combines the published instance list with the states that instances report
/// about themselves and about each other.
///
/// The list defines which instances exist; reports change their state. A report
/// that an instance is suspect or unreachable is accepted only from this
/// instance's own domain or from the domain of the reported instance, since
/// what a third domain can reach says nothing about the path from here. Not
/// thread-safe.
class Membership final {
 public:
  /// Membership as seen by instance `self` in `domain`.
  Membership(InstanceId self, FailureDomain domain);

  /// Replaces the instance list; the states of unlisted instances are dropped.
  void SetInstanceList(const std::vector<Instance>& instances);

  /// Merges a status received from an instance of `from_domain`. Returns true
  /// if the state of the instance changed or, for this instance, if it raised
  /// its incarnation to refute the status.
  bool Merge(const MemberStatus& status,
             const FailureDomain& from_domain,
             TimePoint now);

  /// Marks an alive instance as suspect after it did not answer a call.
  void Suspect(const InstanceId& instance, TimePoint now);

  /// Restarts the timeout of every suspicion, after a pause of this process in
  /// which refutations could not arrive.
  void RestartSuspicionTimeouts(TimePoint now);

  /// Marks instances unreachable that have been suspect for
  /// `kSuspicionTimeout`.
  void ExpireSuspicions(TimePoint now);

  /// Marks this instance as leaving. This cannot be undone.
  void AnnounceLeaving();

  /// Status of this instance, as sent to others.
  [[nodiscard]] const MemberStatus& OwnStatus() const { return m_self; }

  /// Known status of an instance; alive with incarnation 0 by default.
  [[nodiscard]] MemberStatus StatusOf(const InstanceId& instance) const;

  /// Returns up to `limit` statuses to send to a receiver in `to_domain`, those
  /// with the most transmissions left first. Each status is returned a bounded
  /// number of times.
  [[nodiscard]] std::vector<MemberStatus> TakeUpdates(
      std::size_t limit,
      const FailureDomain& to_domain);

  /// Listed instances, sorted by name; those that are not live are marked
  /// `InstanceState::kLeaving`. If a domain has no live instance, instances
  /// that announced their leaving keep their listed state.
  [[nodiscard]] const std::vector<Instance>& Instances() const {
    return m_instances;
  }

  /// Incremented whenever `Instances` changes.
  [[nodiscard]] std::uint64_t ViewVersion() const { return m_view_version; }

  /// Incremented whenever the known state of any instance changes.
  [[nodiscard]] std::uint64_t StatusVersion() const { return m_status_version; }

 private:
  /// Known status of an instance and how often it remains to be sent.
  struct MemberRecord {
    MemberStatus m_status;
    /// Time of the last state change, or of the last restart of the suspicion
    /// timeout.
    TimePoint m_state_since{};
    std::uint32_t m_transmits_left = 0;
  };

  [[nodiscard]] bool IsListed(const InstanceId& instance) const;
  [[nodiscard]] bool MaySend(const MemberRecord& record,
                             const FailureDomain& to_domain) const;
  [[nodiscard]] std::uint32_t MaxTransmits() const;
  // Schedules the known status to be sent again if the one received from a
  // peer is outdated.
  void ResendIfOutdated(const MemberStatus& received,
                        const MemberStatus& known);
  bool MergeOwnStatus(const MemberStatus& status);
  void SetStatus(const MemberStatus& status, TimePoint now);
  void RebuildView();

  const FailureDomain m_domain;
  MemberStatus m_self;
  std::map<InstanceId, Instance> m_listed;
  std::map<InstanceId, MemberRecord> m_records;
  std::vector<Instance> m_instances;
  std::uint64_t m_view_version = 0;
  std::uint64_t m_status_version = 0;
};

}  // namespace jackdawrack
