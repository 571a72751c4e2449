#pragma once

#include <map>

#include "core/clock.h"
#include "model/ids.h"

namespace jackdawrack {

/// Terms of a loan between two instances.
struct LoanSettings {
  /// The borrower uses a loan this long, counted from its asking.
  Milliseconds m_term{2000};
  /// The lender goes without for this much longer, counted from its granting.
  Milliseconds m_drift_margin{200};
  /// Part of its own base share that a lender always keeps.
  double m_kept_part = 0.05;
};

/// Who holds which part of one contract, as one instance knows it.
///
/// An instance that needs more than its base share borrows from peers that
/// need less. The lender goes without before the borrower begins and until
/// after it ends, so the parts never sum to more than one, whatever either of
/// them knows of the rest of the fleet.
class ShareLedger final {
 public:
  explicit ShareLedger(LoanSettings settings) : m_settings(settings) {}

  /// The part that this instance may use now.
  [[nodiscard]] double Fraction(double base, TimePoint now) const;

  /// Lends up to `wanted` in all to `borrower`, leaving `in_use` and the kept
  /// part here. Returns what the borrower holds of us now; a renewal never
  /// shrinks an earlier loan before its end.
  double Lend(const InstanceId& borrower,
              double wanted,
              double base,
              double in_use,
              TimePoint now);

  /// Notes a loan that `lender` granted to an ask sent at `asked_at`.
  void Borrow(const InstanceId& lender, double fraction, TimePoint asked_at);

  /// Sum of what is lent out now.
  [[nodiscard]] double Lent(TimePoint now) const;

  /// Sum of what is borrowed now.
  [[nodiscard]] double Borrowed(TimePoint now) const;

  /// What this lender has lent us now.
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
