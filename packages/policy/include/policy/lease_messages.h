#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "model/ids.h"
#include "policy/idempotency_table.h"
#include "policy/key_slot.h"

namespace jackdawrack {

/// Identifies one process of an instance; a restarted instance is a new holder.
struct LeaseHolderId {
  InstanceId m_instance;
  std::uint64_t m_epoch = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_instance, m_epoch);
  }
  friend auto operator<=>(const LeaseHolderId&, const LeaseHolderId&) = default;
  friend bool operator==(const LeaseHolderId&, const LeaseHolderId&) = default;
};

/// Request to one witness to grant leases for a batch of slots, and to update
/// the promises that it has made to the requester.
struct LeaseRequest {
  LeaseHolderId m_requester;
  /// Round number, increasing with every request of a process. A witness
  /// rejects a request whose number is not greater than the last one.
  std::uint64_t m_round = 0;
  /// Slots to grant.
  std::vector<KeySlot> m_slots;
  /// Slots that the requester releases; it no longer runs keys of them.
  std::vector<KeySlot> m_released;
  /// Slots whose promise is transferred to the successor, which already has
  /// their key records.
  std::vector<KeySlot> m_transferred;
  LeaseHolderId m_successor;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_requester, m_round, m_slots, m_released, m_transferred,
            m_successor);
  }
  friend bool operator==(const LeaseRequest&, const LeaseRequest&) = default;
};

/// A witness's promise to grant a slot to no other holder for the promise
/// duration.
struct LeaseGrant {
  KeySlot m_slot = 0;
  /// Time in milliseconds for which the witness has had no promise to another
  /// holder.
  std::uint32_t m_no_other_holder_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_slot, m_no_other_holder_ms);
  }
  friend bool operator==(const LeaseGrant&, const LeaseGrant&) = default;
};

/// A witness's refusal to grant a slot.
struct LeaseDenial {
  KeySlot m_slot = 0;
  /// Instance that has the promise; empty if the witness abstains.
  InstanceId m_holder;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_slot, m_holder);
  }
  friend bool operator==(const LeaseDenial&, const LeaseDenial&) = default;
};

/// A witness's reply to a lease request.
struct LeaseVotes {
  /// Round number of the request.
  std::uint64_t m_round = 0;
  std::vector<LeaseGrant> m_grants;
  std::vector<LeaseDenial> m_denials;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_round, m_grants, m_denials);
  }
  friend bool operator==(const LeaseVotes&, const LeaseVotes&) = default;
};

/// Request to a holder to hand over slots for which the requester ranks higher
/// in the holder order.
struct LeaseClaim {
  LeaseHolderId m_requester;
  std::vector<KeySlot> m_slots;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_requester, m_slots);
  }
  friend bool operator==(const LeaseClaim&, const LeaseClaim&) = default;
};

/// State of one slot that a holder hands over.
struct SlotHandOver {
  KeySlot m_slot = 0;
  /// Keys with a timestamp before this wall-clock time must not run, in
  /// milliseconds since 1970-01-01 UTC.
  std::int64_t m_floor = 0;
  std::vector<KeyOutcome> m_keys;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_slot, m_floor, m_keys);
  }
  friend bool operator==(const SlotHandOver&, const SlotHandOver&) = default;
};

/// Hands slots and their key records over to the next holder.
struct LeaseHandOver {
  LeaseHolderId m_from;
  std::vector<SlotHandOver> m_slots;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_from, m_slots);
  }
  friend bool operator==(const LeaseHandOver&, const LeaseHandOver&) = default;
};

/// Reply to `LeaseHandOver` and `LeaseClaim`.
struct LeaseHandOverReply {
  /// True if the receiver has imported the key records.
  bool m_is_accepted = false;
  /// The process that now has the key records, if accepted.
  LeaseHolderId m_new_holder;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_is_accepted, m_new_holder);
  }
  friend bool operator==(const LeaseHandOverReply&,
                         const LeaseHandOverReply&) = default;
};

}  // namespace jackdawrack
