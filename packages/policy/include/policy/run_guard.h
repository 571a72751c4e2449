#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "policy/idempotency_table.h"
#include "policy/lease_holder.h"

namespace jackdawrack {

/// A customer's idempotency key with its slot and timestamp.
struct RunKey {
  KeySlot m_slot = 0;
  /// Customer and idempotency key, separated by '/'.
  std::string m_text;
  /// Creation time of the idempotency key, from its UUIDv7.
  UnixMs m_timestamp = 0;

  /// Returns `std::nullopt` if the idempotency key is not a UUIDv7.
  static std::optional<RunKey> Make(const Customer& customer,
                                    const std::string& idempotency_key);

  friend bool operator==(const RunKey&, const RunKey&) = default;
};

/// Whether this instance may run a non-idempotent request now.
enum class RunVerdict {
  /// The request may run; its key is now marked as running.
  kRun,
  /// The request of this key is already running on this instance.
  kRunning,
  /// The request of this key has finished; its outcome is recorded.
  kFinished,
  /// The key was used before with a different body.
  kBodyMismatch,
  /// The request has not run; the key table is full.
  kTableFull,
  /// The request has not run; its slot is being handed over.
  kHandingOver,
  /// This instance does not hold the lease, or the lease's floor may still be
  /// lowered; another holder may have run the request.
  kNoLease,
  /// The key's timestamp is older than the retention time or not later than the
  /// lease's floor by more than `LeaseTiming::KeyTimestampMargin`; the request
  /// may have run without a record on this instance.
  kTooOld,
  /// The key's timestamp lies further ahead than allowed; the request may have
  /// run on a holder whose clock is ahead of this one.
  kAheadOfClock,
  /// The key's timestamp lies so far ahead that no holder can have run the
  /// request.
  kFarAheadOfClock,
};

/// Limits of the key records that a guard keeps and hands over.
struct RunGuardSettings {
  /// Minimum time for which the record of a finished request is kept. Older
  /// records are erased only when their slot is full.
  Milliseconds m_retention{600'000};
  /// Maximum number of key records of a slot; imported records may exceed it.
  std::size_t m_max_keys_per_slot = 8'000;
  /// Maximum number of key records of a slot that are handed over.
  std::size_t m_max_exported_keys = 8'000;
  /// Maximum total size in bytes of a slot's keys and results that are handed
  /// over.
  std::size_t m_max_exported_bytes = 1 << 20;
};

/// Ensures that a non-idempotent request runs at most once: checks the lease of
/// the key's slot, the key's timestamp and the record of the key.
class RunGuard final {
 public:
  RunGuard(LeaseTiming timing, RunGuardSettings settings);

  /// Decides whether the request of a key may run, and marks the key as running
  /// if so. `lease` is the lease of the key's slot, if it is held.
  RunVerdict Admit(const RunKey& key,
                   std::uint64_t body_digest,
                   const std::optional<HeldLease>& lease,
                   TimePoint now,
                   UnixMs wall_now);

  /// Records the outcome of an admitted key. `Outcome::kNotRun` erases the
  /// record, so that a resend may run.
  void RecordOutcome(const RunKey& key, Outcome outcome, std::string result);

  /// The record of a key, or `std::nullopt` if there is none.
  [[nodiscard]] std::optional<KeyRecord> Find(const RunKey& key) const;

  /// Admits no new keys of a slot until `Unfreeze`.
  void Freeze(KeySlot slot) { m_frozen.insert(slot); }
  /// Admits new keys of a frozen slot again.
  void Unfreeze(KeySlot slot) { m_frozen.erase(slot); }
  /// True between `Freeze` and `Unfreeze`.
  [[nodiscard]] bool IsFrozen(KeySlot slot) const {
    return m_frozen.count(slot) != 0;
  }

  /// Number of keys of a slot that are running.
  [[nodiscard]] std::size_t RunningCount(KeySlot slot) const;

  /// Returns the state of a frozen slot for the next holder. If the records
  /// exceed the limits, the oldest are omitted and the floor is raised to the
  /// newest omitted timestamp.
  [[nodiscard]] SlotHandOver Export(KeySlot slot, const HeldLease& lease) const;

  /// Adds the key records of a previous holder. Does not change the floor; see
  /// `LeaseHolder::RaiseFloor`.
  void Import(SlotHandOver hand_over, TimePoint now);

 private:
  IdempotencyTable& TableOf(KeySlot slot);

  const LeaseTiming m_timing;
  const RunGuardSettings m_settings;
  std::map<KeySlot, IdempotencyTable> m_tables;
  std::set<KeySlot> m_frozen;
};

}  // namespace jackdawrack
