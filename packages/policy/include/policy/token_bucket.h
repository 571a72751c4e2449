#pragma once

#include "core/clock.h"

namespace jackdawrack {

/// Allows events at a rate that may change, with a bounded burst.
class TokenBucket final {
 public:
  /// Sets tokens a second and the greatest number of saved tokens.
  void SetRate(double per_second, double burst, TimePoint now);

  /// Takes one token; false if there is none.
  bool TryTake(TimePoint now);

  /// Adds tokens outside of the rate, up to the burst.
  void Refund(double tokens);

  [[nodiscard]] double Available() const { return m_tokens; }

 private:
  void Refill(TimePoint now);

  double m_per_second = 0;
  double m_burst = 0;
  double m_tokens = 0;
  TimePoint m_refilled_at{};
  bool m_is_started = false;
};

}  // namespace jackdawrack
