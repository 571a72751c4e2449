#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/clock.h"
#include "model/outcome.h"

namespace jackdawrack {

/// What is remembered of one idempotency key.
struct KeyRecord {
  std::uint64_t m_body_digest = 0;
  /// False while the request is running.
  bool m_is_settled = false;
  Outcome m_outcome = Outcome::kUnknown;
  std::string m_result;
  TimePoint m_first_seen{};
};

/// A key and its outcome, as one holder hands it to the next.
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

/// Whether a key may be run.
enum class KeyVerdict {
  /// The key is new; it is now marked as running.
  kRun,
  /// The key is running; its outcome is not known yet.
  kRunning,
  /// The key has an outcome.
  kSettled,
  /// The key was used with another body.
  kOtherBody,
  /// The table is full of younger keys.
  kFull,
};

/// Remembers idempotency keys and their outcomes for a window of time.
class IdempotencyTable final {
 public:
  /// Keys older than `window` are forgotten; at most `capacity` are kept.
  IdempotencyTable(Milliseconds window, std::size_t capacity);

  /// Claims a key for one run.
  KeyVerdict Claim(const std::string& key,
                   std::uint64_t body_digest,
                   TimePoint now);

  /// Records what became of a claimed key. A proof that it did not run frees
  /// the key, so that a resend may run.
  void Settle(const std::string& key, Outcome outcome, std::string result);

  /// The record of a key, or nothing.
  [[nodiscard]] std::optional<KeyRecord> Find(const std::string& key) const;

  /// Every key with its outcome; one that still runs is unknown.
  [[nodiscard]] std::vector<KeyOutcome> Export() const;

  /// Takes over a key of an earlier holder, unless it is known already. The
  /// capacity does not bound what is taken over.
  void Import(KeyOutcome key, TimePoint now);

  [[nodiscard]] std::size_t Size() const { return m_records.size(); }

  /// Keys that are running.
  [[nodiscard]] std::size_t RunningCount() const { return m_running; }

 private:
  void ForgetOld(TimePoint now);

  const Milliseconds m_window;
  const std::size_t m_capacity;
  std::unordered_map<std::string, KeyRecord> m_records;
  std::size_t m_running = 0;
};

}  // namespace jackdawrack
