#pragma once

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "policy/lease_messages.h"
#include "policy/lease_timing.h"
#include "policy/witness_set.h"

namespace jackdawrack {

/// A lease that is valid at the time of the query.
struct HeldLease {
  /// End of the lease on the monotonic clock.
  TimePoint m_end{};
  /// End of the lease on the wall clock.
  UnixMs m_wall_end = 0;
  /// Wall-clock time since which no other holder can have run a key of the
  /// slot without this holder having its record.
  UnixMs m_floor = 0;
  /// False while votes are outstanding that may still lower the floor.
  bool m_is_floor_final = true;

  friend bool operator==(const HeldLease&, const HeldLease&) = default;
};

/// Holder role of the lease protocol: counts the witnesses' votes and keeps the
/// leases that a quorum has granted.
///
/// A lease ends when either its monotonic or its wall-clock end has passed.
class LeaseHolder final {
 public:
  /// Time after the start of a round for which votes are awaited that may lower
  /// the floor; longer than the round trip to any witness.
  static constexpr Milliseconds kVoteTimeout{150};

  explicit LeaseHolder(LeaseTiming timing);

  /// Sets the instances from which the witnesses of each slot are chosen. After
  /// a change, a lease also needs a quorum of the previous list for
  /// `LeaseTiming::m_joint_quorum_period`.
  void SetInstanceList(const std::vector<InstanceId>& instance_list,
                       TimePoint now);

  /// Starts a request round for these slots and returns its number, which goes
  /// into the requests. The duration of a lease granted in it counts from
  /// `now`.
  std::uint64_t StartRound(const std::vector<KeySlot>& slots,
                           TimePoint now,
                           UnixMs wall_now);

  /// Counts a witness's votes; votes of an earlier round are ignored.
  void OnVotes(const InstanceId& witness,
               const LeaseVotes& votes,
               TimePoint now,
               UnixMs wall_now);

  /// The lease of a slot, or `std::nullopt` if it is not held at this time.
  [[nodiscard]] std::optional<HeldLease> FindLease(KeySlot slot,
                                                   TimePoint now,
                                                   UnixMs wall_now) const;

  /// Drops the lease of a slot; outstanding votes for it are ignored.
  void Drop(KeySlot slot);

  /// Raises the floor of this and every later lease of the slot to at least
  /// `floor`.
  void RaiseFloor(KeySlot slot, UnixMs floor);

  /// The witnesses of a slot, sorted by id; those of the previous list are
  /// included while its quorum is needed as well.
  [[nodiscard]] std::vector<InstanceId> WitnessesToContact(KeySlot slot,
                                                           TimePoint now) const;

  /// Number of witnesses that granted the slot in its current round.
  [[nodiscard]] std::size_t GrantCount(KeySlot slot) const;

 private:
  struct SlotState {
    // Current round; 0 if there is none
    std::uint64_t m_round = 0;
    TimePoint m_round_start{};
    UnixMs m_round_wall_start = 0;
    /// Per witness, the wall-clock time since which it has had no promise to
    /// another holder.
    std::map<InstanceId, UnixMs> m_grants;

    // Lease; it may have ended
    std::optional<HeldLease> m_lease;
    UnixMs m_raised_floor = 0;
  };

  [[nodiscard]] bool NeedsJointQuorum(TimePoint now) const {
    return now < m_joint_quorum_until;
  }
  [[nodiscard]] bool IsFloorFinal(KeySlot slot,
                                  const SlotState& state,
                                  TimePoint now) const;
  void UpdateLease(KeySlot slot,
                   SlotState& state,
                   TimePoint now,
                   UnixMs wall_now);
  [[nodiscard]] static std::optional<UnixMs> QuorumFloor(
      const std::vector<InstanceId>& witnesses,
      const std::map<InstanceId, UnixMs>& grants);

  const LeaseTiming m_timing;
  std::vector<InstanceId> m_instance_list;
  std::vector<InstanceId> m_previous_instance_list;
  TimePoint m_joint_quorum_until{};
  std::uint64_t m_last_round = 0;
  std::unordered_map<KeySlot, SlotState> m_slots;
};

}  // namespace jackdawrack
