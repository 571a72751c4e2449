#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/clock.h"
#include "model/outcome.h"

namespace jackdawrack {

/// Record of one idempotency key.
struct KeyRecord {
  /// Hash of the request, to detect reuse of the key for another request.
  std::uint64_t m_body_digest = 0;
  /// False while the request is running.
  bool m_is_finished = false;
  Outcome m_outcome = Outcome::kUnknown;
  std::string m_result;
  TimePoint m_first_seen{};
};

/// A key and its outcome as sent to the next lease holder.
struct KeyOutcome {
  std::string m_key;
  std::uint64_t m_body_digest = 0;
  Outcome m_outcome = Outcome::kUnknown;
  std::string m_result;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_key, m_body_digest, m_outcome, m_result);
  }
  friend bool operator==(const KeyOutcome&, const KeyOutcome&) = default;
};

/// Result of claiming a key.
enum class KeyVerdict {
  /// The key is new; it is now marked as running.
  kRun,
  /// The request of this key is running; its outcome is not known yet.
  kRunning,
  /// The request of this key has finished; its outcome is recorded.
  kFinished,
  /// The key was used before with a different body.
  kBodyMismatch,
  /// The table is full, and no record is old enough to be erased.
  kTableFull,
};

/// Records of idempotency keys and their outcomes, kept for a minimum time.
class IdempotencyTable final {
 public:
  /// When the table holds `capacity` records, `Claim` first erases the records
  /// of finished requests that are older than `retention`.
  IdempotencyTable(Milliseconds retention, std::size_t capacity);

  /// Marks a new key as running, unless the table is full. For a known key
  /// returns the state of its record.
  KeyVerdict Claim(const std::string& key,
                   std::uint64_t body_digest,
                   TimePoint now);

  /// Records the outcome of a running key. `Outcome::kNotRun` erases the
  /// record, so that a resend may run.
  void RecordOutcome(const std::string& key,
                     Outcome outcome,
                     std::string result);

  /// The record of a key, or `std::nullopt` if there is none.
  [[nodiscard]] std::optional<KeyRecord> Find(const std::string& key) const;

  /// Every key with its outcome, which is `Outcome::kUnknown` for running keys.
  [[nodiscard]] std::vector<KeyOutcome> Export() const;

  /// Adds a key of a previous holder as finished, unless the key is known. The
  /// capacity does not limit imports.
  void Import(KeyOutcome key, TimePoint now);

  /// Number of records.
  [[nodiscard]] std::size_t Size() const { return m_records.size(); }

  /// Number of keys that are running.
  [[nodiscard]] std::size_t RunningCount() const { return m_running; }

 private:
  void EraseExpired(TimePoint now);

  const Milliseconds m_retention;
  const std::size_t m_capacity;
  std::unordered_map<std::string, KeyRecord> m_records;
  std::size_t m_running = 0;
};

}  // namespace jackdawrack
