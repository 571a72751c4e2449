#include "policy/run_guard.h"

#include <algorithm>

namespace jackdawrack {
namespace {

constexpr char kSeparator = '/';

// Timestamp of the UUIDv7 in a run key's text; 0 if there is none.
UnixMs TimestampInText(const std::string& text) {
  const std::size_t separator = text.rfind(kSeparator);
  return UuidV7Timestamp(text.substr(separator + 1)).value_or(0);
}

// Sorts the newest keys first.
void SortNewestFirst(std::vector<KeyOutcome>& keys) {
  std::sort(keys.begin(), keys.end(),
            [](const KeyOutcome& a, const KeyOutcome& b) {
              return TimestampInText(a.m_key) > TimestampInText(b.m_key);
            });
}

}  // namespace

std::optional<RunKey> RunKey::Make(const Customer& customer,
                                   const std::string& idempotency_key) {
  const auto timestamp = UuidV7Timestamp(idempotency_key);
  if (!timestamp) {
    return std::nullopt;
  }
  RunKey key;
  key.m_slot = KeySlotOf(customer, idempotency_key);
  key.m_text = customer.Text() + kSeparator + idempotency_key;
  key.m_timestamp = *timestamp;
  return key;
}

RunGuard::RunGuard(LeaseTiming timing, RunGuardSettings settings)
    : m_timing(timing), m_settings(settings) {}

RunVerdict RunGuard::Admit(const RunKey& key,
                           std::uint64_t body_digest,
                           const std::optional<HeldLease>& lease,
                           TimePoint now,
                           UnixMs wall_now) {
  // A record is valid whether or not the lease is held
  IdempotencyTable& table = TableOf(key.m_slot);
  if (const auto known = table.Find(key.m_text)) {
    if (known->m_body_digest != body_digest) {
      return RunVerdict::kBodyMismatch;
    }
    return known->m_is_finished ? RunVerdict::kFinished : RunVerdict::kRunning;
  }

  // The record of a key with a timestamp ahead of the clock could be erased
  // before the key counts as too old
  const UnixMs ahead = key.m_timestamp - wall_now;
  if (ahead > m_timing.KeyTimestampMargin().count()) {
    return RunVerdict::kFarAheadOfClock;
  }
  if (ahead > m_timing.m_max_timestamp_lead.count()) {
    return RunVerdict::kAheadOfClock;
  }

  // An old key may have run on a previous holder, or here with its record
  // erased since
  if (!lease) {
    return RunVerdict::kNoLease;
  }
  const UnixMs retained_since = wall_now - m_settings.m_retention.count();
  const UnixMs earliest_creation =
      key.m_timestamp - m_timing.KeyTimestampMargin().count();
  if (earliest_creation <= retained_since) {
    return RunVerdict::kTooOld;
  }
  if (earliest_creation <= lease->m_floor) {
    return lease->m_is_floor_final ? RunVerdict::kTooOld : RunVerdict::kNoLease;
  }

  if (IsFrozen(key.m_slot)) {
    return RunVerdict::kHandingOver;
  }
  return table.Claim(key.m_text, body_digest, now) == KeyVerdict::kRun
             ? RunVerdict::kRun
             : RunVerdict::kTableFull;
}

void RunGuard::RecordOutcome(const RunKey& key,
                             Outcome outcome,
                             std::string result) {
  TableOf(key.m_slot).RecordOutcome(key.m_text, outcome, std::move(result));
}

std::optional<KeyRecord> RunGuard::Find(const RunKey& key) const {
  const auto table = m_tables.find(key.m_slot);
  return table == m_tables.end() ? std::nullopt
                                 : table->second.Find(key.m_text);
}

std::size_t RunGuard::RunningCount(KeySlot slot) const {
  const auto table = m_tables.find(slot);
  return table == m_tables.end() ? 0 : table->second.RunningCount();
}

SlotHandOver RunGuard::Export(KeySlot slot, const HeldLease& lease) const {
  SlotHandOver hand_over;
  hand_over.m_slot = slot;
  hand_over.m_floor = lease.m_floor;
  const auto table = m_tables.find(slot);
  if (table == m_tables.end()) {
    return hand_over;
  }
  std::vector<KeyOutcome> keys = table->second.Export();
  SortNewestFirst(keys);

  // Omit the oldest records beyond the limits, and raise the floor to the
  // newest one omitted
  std::size_t bytes = 0;
  for (KeyOutcome& key : keys) {
    bytes += key.m_key.size() + key.m_result.size();
    if (hand_over.m_keys.size() >= m_settings.m_max_exported_keys ||
        bytes > m_settings.m_max_exported_bytes) {
      hand_over.m_floor =
          std::max(hand_over.m_floor, TimestampInText(key.m_key));
      break;
    }
    hand_over.m_keys.push_back(std::move(key));
  }
  return hand_over;
}

void RunGuard::Import(SlotHandOver hand_over, TimePoint now) {
  IdempotencyTable& table = TableOf(hand_over.m_slot);
  for (KeyOutcome& key : hand_over.m_keys) {
    table.Import(std::move(key), now);
  }
}

IdempotencyTable& RunGuard::TableOf(KeySlot slot) {
  return m_tables
      .try_emplace(slot, m_settings.m_retention, m_settings.m_max_keys_per_slot)
      .first->second;
}

}  // namespace jackdawrack
