#pragma once

#include "core/clock.h"

namespace jackdawrack {

/// The times that the lease rests on; alike on every instance.
struct LeaseTerms {
  /// Time that a holder counts on an acknowledged lease.
  Milliseconds m_term{2000};
  /// Time by which a witness's promise outlasts the holder's count; covers
  /// monotonic clocks that run at different rates.
  Milliseconds m_drift_margin{200};
  /// Interval at which a holder renews.
  Milliseconds m_renew_interval{500};
  /// Greatest error of an instance's wall clock.
  Milliseconds m_clock_error{100};
  /// Time by which a key's mint time may lie ahead of the holder's clock.
  Milliseconds m_mint_ahead{200};
  /// Time after a change of the instance list in which a holder needs a
  /// quorum of the list before as well.
  Milliseconds m_settle{6000};

  /// Time for which a witness keeps a promise, and a process just started
  /// makes none.
  [[nodiscard]] Milliseconds PromiseTime() const {
    return m_term + m_drift_margin;
  }

  /// Time after a lease's floor in which no key may be minted that it runs:
  /// the clocks of two holders and the mint time allowed ahead.
  [[nodiscard]] Milliseconds MintMargin() const {
    return 2 * m_clock_error + m_mint_ahead;
  }

  friend bool operator==(const LeaseTerms&, const LeaseTerms&) = default;
};

}  // namespace jackdawrack
