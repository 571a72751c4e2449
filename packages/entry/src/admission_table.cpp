#include "admission_table.h"

#include <algorithm>

#include "core/check.h"

namespace jackdawrack {
namespace {

/// Longest time until every instance has read a published list.
constexpr Milliseconds kListLag{5000};

/// Asked for beyond the demand, so that growth is not refused meanwhile.
constexpr double kHeadroom = 1.1;

}  // namespace

AdmissionTable::AdmissionTable(InstanceId self)
    : m_self(std::move(self)), m_base(kListLag) {}

void AdmissionTable::SetInstances(const std::vector<Instance>& instances,
                                  TimePoint now) {
  const bool is_listed =
      std::any_of(instances.begin(), instances.end(),
                  [&](const Instance& each) { return each.m_id == m_self; });
  const std::lock_guard lock(m_mutex);
  m_base.SetInstanceList(instances.size(), is_listed, now);
}

bool AdmissionTable::IsBaseUsable(TimePoint now) {
  const std::lock_guard lock(m_mutex);
  return m_base.UsableFraction(now) > 0;
}

AdmissionVerdict AdmissionTable::Admit(const Contract& contract,
                                       TimePoint now) {
  const std::lock_guard lock(m_mutex);
  Row& row = m_rows[contract.Name()];
  const double fraction =
      row.m_ledger.UsableFraction(m_base.UsableFraction(now), now);
  return row.m_gate.Admit(contract, fraction, now);
}

void AdmissionTable::Release(const Customer& customer) {
  const std::lock_guard lock(m_mutex);
  const auto row = m_rows.find(customer);
  JR_CHECK(row != m_rows.end());
  row->second.m_gate.Release();
}

std::vector<ShareWish> AdmissionTable::Wishes(const FleetState& state,
                                              TimePoint now) {
  const std::lock_guard lock(m_mutex);
  const double base = m_base.UsableFraction(now);
  std::vector<ShareWish> wishes;
  for (const auto& [customer, row] : m_rows) {
    const auto contract = state.FindContract(customer);
    if (contract == nullptr) {
      continue;
    }
    const double demand = row.m_gate.DemandFraction(*contract, now) * kHeadroom;
    if (demand > base) {
      wishes.push_back(ShareWish{customer, std::min(1.0, demand) - base});
    }
  }
  return wishes;
}

ShareGrants AdmissionTable::Lend(const InstanceId& borrower,
                                 const std::vector<ShareWish>& wishes,
                                 const FleetState& state,
                                 TimePoint now) {
  const std::lock_guard lock(m_mutex);
  ShareGrants grants;
  grants.m_counts_borrower = state.FindInstance(borrower) != nullptr;
  const double base = m_base.UsableFraction(now);
  for (const ShareWish& wish : wishes) {
    const auto contract = state.FindContract(wish.m_customer);
    if (contract == nullptr || wish.m_fraction <= 0) {
      continue;
    }
    Row& row = m_rows[wish.m_customer];
    const double lent =
        row.m_ledger.Lend(borrower, wish.m_fraction, base,
                          row.m_gate.UsedFraction(*contract, now), now);
    grants.m_grants.push_back(ShareWish{wish.m_customer, lent});
  }
  return grants;
}

void AdmissionTable::Borrow(const InstanceId& lender,
                            const ShareGrants& grants,
                            TimePoint asked_at) {
  const std::lock_guard lock(m_mutex);
  if (grants.m_counts_borrower) {
    m_base.RecordConfirmation(lender);
  }
  for (const ShareWish& grant : grants.m_grants) {
    m_rows[grant.m_customer].m_ledger.RecordBorrowed(lender, grant.m_fraction,
                                                     asked_at);
  }
}

}  // namespace jackdawrack
