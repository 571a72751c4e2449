#pragma once

#include <map>

#include "core/clock.h"
#include "model/ids.h"

namespace jackdawrack {

/// Parameters of loans of contract shares; the same on all instances.
struct LoanSettings {
  /// Time for which the borrower uses a loan, from the sending of its request.
  Milliseconds m_term{2000};
  /// The lender does not use the lent share for the term and this margin, from
  /// the grant. Covers monotonic clocks that run at different rates.
  Milliseconds m_drift_margin{200};
  /// Fraction of its base share that a lender never lends.
  double m_min_kept_fraction = 0.05;
};

/// The loans of one contract's shares that one instance has given and taken.
///
/// An instance that needs more than its base share borrows from peers that need
/// less. The lender gives up a lent share before the borrower starts to use it,
/// and takes it back only after the borrower has stopped. Loans therefore never
/// raise the sum of all shares above 1, without any knowledge of the rest of
/// the fleet. Not thread-safe.
class ShareLedger final {
 public:
  explicit ShareLedger(LoanSettings settings) : m_settings(settings) {}

  /// Returns the share of the contract that this instance may use at `now`: its
  /// base share without what is lent, plus what is borrowed.
  [[nodiscard]] double UsableFraction(double base_share, TimePoint now) const;

  /// Lends up to `wanted` to `borrower` in total; an earlier loan is included
  /// and renewed. Keeps at least `in_use` and the fraction that is never lent.
  /// Returns the lent share, or 0 if nothing is granted. An earlier loan is
  /// never reduced before its end; if it cannot be renewed, it runs out.
  double Lend(const InstanceId& borrower,
              double wanted,
              double base_share,
              double in_use,
              TimePoint now);

  /// Records a loan that `lender` granted for a request sent at `requested_at`.
  void RecordBorrowed(const InstanceId& lender,
                      double fraction,
                      TimePoint requested_at);

  /// Returns the total share that is lent at `now`.
  [[nodiscard]] double TotalLent(TimePoint now) const;

  /// Returns the total share that is borrowed at `now`.
  [[nodiscard]] double TotalBorrowed(TimePoint now) const;

  /// Returns the share that is borrowed from `lender` at `now`.
  [[nodiscard]] double BorrowedFrom(const InstanceId& lender,
                                    TimePoint now) const;

 private:
  struct Loan {
    double m_fraction = 0;
    TimePoint m_ends_at{};
  };

  using Loans = std::map<InstanceId, Loan>;

  static double Sum(const Loans& loans, TimePoint now);

  const LoanSettings m_settings;
  Loans m_lent;
  Loans m_borrowed;
};

}  // namespace jackdawrack
