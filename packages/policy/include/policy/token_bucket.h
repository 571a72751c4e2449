#pragma once

#include "core/clock.h"

namespace jackdawrack {

/// Token bucket whose rate and burst size may change at any time. Not
/// thread-safe.
class TokenBucket final {
 public:
  /// Sets the rate in tokens per second and the maximum number of tokens. The
  /// first call fills the bucket.
  void SetRate(double tokens_per_second, double burst, TimePoint now);

  /// Takes one token. Returns false if less than one is available.
  bool TryTake(TimePoint now);

  /// Adds tokens independently of the rate, up to the burst.
  void Refund(double tokens);

  /// Returns the number of tokens at the last update.
  [[nodiscard]] double Available() const { return m_tokens; }

 private:
  void Refill(TimePoint now);

  double m_tokens_per_second = 0;
  double m_burst = 0;
  double m_tokens = 0;
  TimePoint m_refilled_at{};
  bool m_is_started = false;
};

}  // namespace jackdawrack
