#pragma once

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "policy/lease_messages.h"
#include "policy/lease_terms.h"
#include "policy/witness_set.h"

namespace jackdawrack {

/// A lease that holds at the time of asking.
struct HeldLease {
  /// End of the lease.
  TimePoint m_end{};
  UnixMs m_wall_end = 0;
  /// Wall-clock time since which no other holder can have run a key of the
  /// slot that this holder does not know.
  UnixMs m_floor = 0;
  /// False while witnesses whose votes may still lower the floor have not
  /// answered.
  bool m_is_floor_settled = true;

  friend bool operator==(const HeldLease&, const HeldLease&) = default;
};

/// The holder role: counts the witnesses' votes and tells which slots are
/// held, on this process's monotonic clock.
class LeaseHolder final {
 public:
  /// Time for which a round waits for votes that may lower the floor; longer
  /// than the round trip to any witness.
  static constexpr Milliseconds kVoteTime{150};

  explicit LeaseHolder(LeaseTerms terms);

  /// Takes the listed instances as electorate. For the settle time after a
  /// change a quorum of the list before is needed as well.
  void SetElectorate(const std::vector<InstanceId>& listed, TimePoint now);

  /// Begins a round of asking for these slots; its number goes into the asks.
  /// A lease got in it counts from `now`.
  std::uint64_t StartRound(const std::vector<KeySlot>& slots,
                           TimePoint now,
                           UnixMs wall_now);

  /// Counts a witness's votes; those of an older round are dropped.
  void OnVotes(const InstanceId& witness,
               const LeaseVotes& votes,
               TimePoint now,
               UnixMs wall_now);

  /// The lease of a slot, or nothing if it does not hold now.
  [[nodiscard]] std::optional<HeldLease> Held(KeySlot slot,
                                              TimePoint now,
                                              UnixMs wall_now) const;

  /// Gives a slot up; votes under way for it are dropped.
  void Drop(KeySlot slot);

  /// Refuses keys minted before `floor` on this slot from now on.
  void RaiseFloor(KeySlot slot, UnixMs floor);

  /// Everyone who has to be asked for a slot, sorted by name.
  [[nodiscard]] std::vector<InstanceId> WitnessesToAsk(KeySlot slot,
                                                       TimePoint now) const;

  /// Number of witnesses that granted the present round of a slot.
  [[nodiscard]] std::size_t GrantsOf(KeySlot slot) const;

 private:
  struct Slot {
    // Present round
    std::uint64_t m_round = 0;
    TimePoint m_round_start{};
    UnixMs m_round_wall_start = 0;
    /// Since when no other holder had the witness's promise.
    std::map<InstanceId, UnixMs> m_grants;

    // Lease
    std::optional<HeldLease> m_lease;
    UnixMs m_raised_floor = 0;
  };

  [[nodiscard]] bool IsSettling(TimePoint now) const {
    return now < m_settled_at;
  }
  [[nodiscard]] bool IsFloorSettled(KeySlot slot,
                                    const Slot& state,
                                    TimePoint now) const;
  void CountGrants(KeySlot slot, Slot& state, TimePoint now, UnixMs wall_now);
  [[nodiscard]] static std::optional<UnixMs> FloorOfQuorum(
      const std::vector<InstanceId>& witnesses,
      const std::map<InstanceId, UnixMs>& grants);

  const LeaseTerms m_terms;
  std::vector<InstanceId> m_listed;
  std::vector<InstanceId> m_listed_before;
  TimePoint m_settled_at{};
  std::uint64_t m_last_round = 0;
  std::unordered_map<KeySlot, Slot> m_slots;
};

}  // namespace jackdawrack
