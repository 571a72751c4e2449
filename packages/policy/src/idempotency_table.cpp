#include "policy/idempotency_table.h"

#include "core/check.h"

namespace jackdawrack {

IdempotencyTable::IdempotencyTable(Milliseconds retention, std::size_t capacity)
    : m_retention(retention), m_capacity(capacity) {
  JR_CHECK(capacity > 0);
}

KeyVerdict IdempotencyTable::Claim(const std::string& key,
                                   std::uint64_t body_digest,
                                   TimePoint now) {
  const auto found = m_records.find(key);
  if (found != m_records.end()) {
    if (found->second.m_body_digest != body_digest) {
      return KeyVerdict::kBodyMismatch;
    }
    return found->second.m_is_finished ? KeyVerdict::kFinished
                                       : KeyVerdict::kRunning;
  }
  if (m_records.size() >= m_capacity) {
    EraseExpired(now);
  }
  if (m_records.size() >= m_capacity) {
    return KeyVerdict::kTableFull;
  }
  KeyRecord record;
  record.m_body_digest = body_digest;
  record.m_first_seen = now;
  m_records.emplace(key, std::move(record));
  ++m_running;
  return KeyVerdict::kRun;
}

void IdempotencyTable::RecordOutcome(const std::string& key,
                                     Outcome outcome,
                                     std::string result) {
  const auto found = m_records.find(key);
  JR_CHECK(found != m_records.end());
  JR_CHECK(!found->second.m_is_finished);
  JR_CHECK(m_running > 0);
  --m_running;
  if (outcome == Outcome::kNotRun) {
    m_records.erase(found);
    return;
  }
  found->second.m_is_finished = true;
  found->second.m_outcome = outcome;
  found->second.m_result = std::move(result);
}

std::optional<KeyRecord> IdempotencyTable::Find(const std::string& key) const {
  const auto found = m_records.find(key);
  if (found == m_records.end()) {
    return std::nullopt;
  }
  return found->second;
}

std::vector<KeyOutcome> IdempotencyTable::Export() const {
  std::vector<KeyOutcome> keys;
  keys.reserve(m_records.size());
  for (const auto& [key, record] : m_records) {
    keys.push_back(KeyOutcome{key, record.m_body_digest, record.m_outcome,
                              record.m_result});
  }
  return keys;
}

void IdempotencyTable::Import(KeyOutcome key, TimePoint now) {
  KeyRecord record;
  record.m_body_digest = key.m_body_digest;
  record.m_is_finished = true;
  record.m_outcome = key.m_outcome;
  record.m_result = std::move(key.m_result);
  record.m_first_seen = now;
  m_records.emplace(std::move(key.m_key), std::move(record));
}

void IdempotencyTable::EraseExpired(TimePoint now) {
  std::erase_if(m_records, [&](const auto& entry) {
    return entry.second.m_is_finished &&
           entry.second.m_first_seen + m_retention < now;
  });
}

}  // namespace jackdawrack
