#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

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

  [[nodiscard]] std::size_t Size() const { return m_records.size(); }

 private:
  void ForgetOld(TimePoint now);

  const Milliseconds m_window;
  const std::size_t m_capacity;
  std::unordered_map<std::string, KeyRecord> m_records;
};

}  // namespace jackdawrack
