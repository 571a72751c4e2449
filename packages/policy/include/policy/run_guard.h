#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "policy/idempotency_table.h"
#include "policy/lease_holder.h"

namespace jackdawrack {

/// One customer's idempotency key with what follows from it.
struct RunKey {
  KeySlot m_slot = 0;
  /// Customer and idempotency key.
  std::string m_text;
  UnixMs m_minted = 0;

  /// Nothing if the idempotency key is not a UUIDv7.
  static std::optional<RunKey> Make(const Customer& customer,
                                    const std::string& idempotency_key);

  friend bool operator==(const RunKey&, const RunKey&) = default;
};

/// Whether a non-idempotent request may run here and now.
enum class RunVerdict {
  /// It may; the key is now marked as running.
  kRun,
  /// It is running here.
  kRunning,
  /// Its outcome is known.
  kSettled,
  /// The key was used with another body.
  kOtherBody,
  /// It never ran; there is no room to remember it.
  kFull,
  /// It never ran; the slot is being handed over.
  kMoving,
  /// The lease does not hold here, or its floor may still fall; an earlier
  /// holder may have run it.
  kNoLease,
  /// It was minted before the lease's floor; an earlier holder may have run it.
  kTooOld,
  /// Its mint time lies in the future; it may have run by another clock.
  kTooNew,
  /// Its mint time lies so far in the future that no holder can have run it.
  kFromFuture,
};

/// Bounds of what a guard remembers.
struct RunGuardSettings {
  /// Time for which a key's outcome is kept at least, unless a slot is full.
  Milliseconds m_window{600'000};
  std::size_t m_max_keys_per_slot = 8'000;
  /// Greatest number of keys of a slot that are handed over.
  std::size_t m_max_handed_keys = 8'000;
  /// Greatest size of a slot's results that are handed over.
  std::size_t m_max_handed_bytes = 1 << 20;
};

/// Decides whether a key may run: the lease, its mint time, and what is
/// remembered of it.
class RunGuard final {
 public:
  RunGuard(LeaseTerms terms, RunGuardSettings settings);

  /// Judges a key and marks it as running if it may run.
  RunVerdict Admit(const RunKey& key,
                   std::uint64_t body_digest,
                   const std::optional<HeldLease>& lease,
                   TimePoint now,
                   UnixMs wall_now);

  /// Records what became of an admitted key.
  void Settle(const RunKey& key, Outcome outcome, std::string result);

  /// The record of a key, or nothing.
  [[nodiscard]] std::optional<KeyRecord> Find(const RunKey& key) const;

  /// Runs nothing more of a slot until it is thawed.
  void Freeze(KeySlot slot) { m_frozen.insert(slot); }
  void Thaw(KeySlot slot) { m_frozen.erase(slot); }
  [[nodiscard]] bool IsFrozen(KeySlot slot) const {
    return m_frozen.count(slot) != 0;
  }

  /// Keys of a slot that are running.
  [[nodiscard]] std::size_t RunningCount(KeySlot slot) const;

  /// What the next holder of a frozen slot has to know. Keys over the bounds
  /// are left out, and the floor is raised past them.
  [[nodiscard]] SlotHandOver Export(KeySlot slot, const HeldLease& lease) const;

  /// Takes over the keys of an earlier holder.
  void Import(SlotHandOver slot, TimePoint now);

 private:
  IdempotencyTable& TableOf(KeySlot slot);

  const LeaseTerms m_terms;
  const RunGuardSettings m_settings;
  std::map<KeySlot, IdempotencyTable> m_tables;
  std::set<KeySlot> m_frozen;
};

}  // namespace jackdawrack
