#include "policy/token_bucket.h"

#include <algorithm>

#include "core/check.h"

namespace jackdawrack {

void TokenBucket::SetRate(double tokens_per_second,
                          double burst,
                          TimePoint now) {
  JR_CHECK(tokens_per_second >= 0);
  JR_CHECK(burst >= 0);
  if (!m_is_started) {
    m_is_started = true;
    m_refilled_at = now;
    m_tokens = burst;
  }
  Refill(now);
  m_tokens_per_second = tokens_per_second;
  m_burst = burst;
  m_tokens = std::min(m_tokens, m_burst);
}

bool TokenBucket::TryTake(TimePoint now) {
  Refill(now);
  if (m_tokens < 1) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

void TokenBucket::Refund(double tokens) {
  m_tokens = std::min(m_burst, m_tokens + tokens);
}

void TokenBucket::Refill(TimePoint now) {
  if (now <= m_refilled_at) {
    return;
  }
  const std::chrono::duration<double> elapsed = now - m_refilled_at;
  m_tokens =
      std::min(m_burst, m_tokens + elapsed.count() * m_tokens_per_second);
  m_refilled_at = now;
}

}  // namespace jackdawrack
