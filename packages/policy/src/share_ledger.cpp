#include "policy/share_ledger.h"

#include <algorithm>

#include "core/check.h"

namespace jackdawrack {

double ShareLedger::UsableFraction(double base_share, TimePoint now) const {
  return std::max(0.0, base_share - TotalLent(now)) + TotalBorrowed(now);
}

double ShareLedger::Lend(const InstanceId& borrower,
                         double wanted,
                         double base_share,
                         double in_use,
                         TimePoint now) {
  JR_CHECK(wanted >= 0);
  std::erase_if(m_lent,
                [&](const auto& loan) { return loan.second.m_ends_at <= now; });
  const auto found = m_lent.find(borrower);
  const double held = found == m_lent.end() ? 0 : found->second.m_fraction;

  // Lend only from the base share; borrowed shares are not lent to others
  const double min_kept = base_share * m_settings.m_min_kept_fraction;
  const double free =
      base_share - (TotalLent(now) - held) - std::max(in_use, min_kept);
  const double granted = std::max(held, std::min(wanted, free));
  if (granted <= 0) {
    return 0;
  }

  // An earlier loan that the free share no longer covers is not renewed
  if (granted <= free) {
    m_lent[borrower] =
        Loan{granted, now + m_settings.m_term + m_settings.m_drift_margin};
    return granted;
  }
  return 0;
}

void ShareLedger::RecordBorrowed(const InstanceId& lender,
                                 double fraction,
                                 TimePoint requested_at) {
  if (fraction <= 0) {
    return;
  }
  Loan& loan = m_borrowed[lender];
  loan.m_fraction = fraction;
  loan.m_ends_at = std::max(loan.m_ends_at, requested_at + m_settings.m_term);
}

double ShareLedger::TotalLent(TimePoint now) const {
  return Sum(m_lent, now);
}

double ShareLedger::TotalBorrowed(TimePoint now) const {
  return Sum(m_borrowed, now);
}

double ShareLedger::BorrowedFrom(const InstanceId& lender,
                                 TimePoint now) const {
  const auto found = m_borrowed.find(lender);
  if (found == m_borrowed.end() || found->second.m_ends_at <= now) {
    return 0;
  }
  return found->second.m_fraction;
}

double ShareLedger::Sum(const Loans& loans, TimePoint now) {
  double sum = 0;
  for (const auto& [instance, loan] : loans) {
    sum += loan.m_ends_at > now ? loan.m_fraction : 0;
  }
  return sum;
}

}  // namespace jackdawrack
