#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "model/ids.h"
#include "policy/idempotency_table.h"
#include "policy/key_slot.h"

namespace jackdawrack {

/// One process of one instance; a restarted instance is another holder.
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

/// Asks one witness to acknowledge the asker for a batch of slots.
struct LeaseAsk {
  LeaseHolderId m_asker;
  /// Grows with every ask of a process; a witness ignores an older one.
  std::uint64_t m_number = 0;
  std::vector<KeySlot> m_slots;
  /// Slots that the asker gives up; it runs nothing of them any more.
  std::vector<KeySlot> m_released;
  /// Slots whose promise passes to the successor, which has their keys.
  std::vector<KeySlot> m_transferred;
  LeaseHolderId m_successor;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_asker, m_number, m_slots, m_released, m_transferred, m_successor);
  }
  friend bool operator==(const LeaseAsk&, const LeaseAsk&) = default;
};

/// A promise to acknowledge no other holder of a slot for the promise time.
struct LeaseGrant {
  KeySlot m_slot = 0;
  /// Time for which no other holder had a promise, in milliseconds.
  std::uint32_t m_vacant_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_slot, m_vacant_ms);
  }
  friend bool operator==(const LeaseGrant&, const LeaseGrant&) = default;
};

/// A refusal, naming who has the promise; empty if the witness abstains.
struct LeaseDenial {
  KeySlot m_slot = 0;
  InstanceId m_holder;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_slot, m_holder);
  }
  friend bool operator==(const LeaseDenial&, const LeaseDenial&) = default;
};

/// A witness's answer to an ask.
struct LeaseVotes {
  std::uint64_t m_number = 0;
  std::vector<LeaseGrant> m_grants;
  std::vector<LeaseDenial> m_denials;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_number, m_grants, m_denials);
  }
  friend bool operator==(const LeaseVotes&, const LeaseVotes&) = default;
};

/// Asks a holder for slots that the asker is preferred for.
struct LeaseClaim {
  LeaseHolderId m_asker;
  std::vector<KeySlot> m_slots;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_asker, m_slots);
  }
  friend bool operator==(const LeaseClaim&, const LeaseClaim&) = default;
};

/// What a holder knows of one slot that it gives up.
struct SlotHandOver {
  KeySlot m_slot = 0;
  /// Keys minted before this wall-clock time may not be run.
  std::int64_t m_floor = 0;
  std::vector<KeyOutcome> m_keys;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_slot, m_floor, m_keys);
  }
  friend bool operator==(const SlotHandOver&, const SlotHandOver&) = default;
};

/// Hands slots and their keys to the next holder.
struct LeaseHandOver {
  LeaseHolderId m_from;
  std::vector<SlotHandOver> m_slots;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_from, m_slots);
  }
  friend bool operator==(const LeaseHandOver&, const LeaseHandOver&) = default;
};

/// The taker's answer to a hand-over.
struct LeaseHandOverReply {
  bool m_is_accepted = false;
  /// Who has the keys now.
  LeaseHolderId m_taker;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_is_accepted, m_taker);
  }
  friend bool operator==(const LeaseHandOverReply&,
                         const LeaseHandOverReply&) = default;
};

}  // namespace jackdawrack
