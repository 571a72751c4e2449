#include "admission_table.h"

#include <algorithm>

#include "core/check.h"

namespace jackdawrack {
namespace {

/// Maximum time until every instance has read a published instance list.
constexpr Milliseconds kListLag{5000};

/// Requests shares for more than the current demand, so that growing load is
/// not refused while the next loan is requested.
constexpr double kDemandHeadroomFactor = 1.1;

}  // namespace

AdmissionTable::AdmissionTable(InstanceId self)
    : m_self(std::move(self)), m_base_share(kListLag) {}

void AdmissionTable::SetInstances(const std::vector<Instance>& instances,
                                  TimePoint now) {
  const bool is_listed = std::any_of(
      instances.begin(), instances.end(),
      [&](const Instance& instance) { return instance.m_id == m_self; });
  const std::lock_guard lock(m_mutex);
  m_base_share.SetInstanceList(instances.size(), is_listed, now);
}

bool AdmissionTable::IsBaseShareUsable(TimePoint now) {
  const std::lock_guard lock(m_mutex);
  return m_base_share.UsableFraction(now) > 0;
}

AdmissionVerdict AdmissionTable::Admit(const Contract& contract,
                                       TimePoint now) {
  const std::lock_guard lock(m_mutex);
  CustomerState& customer_state = m_customers[contract.Name()];
  const double fraction = customer_state.m_ledger.UsableFraction(
      m_base_share.UsableFraction(now), now);
  return customer_state.m_gate.Admit(contract, fraction, now);
}

void AdmissionTable::Release(const Customer& customer) {
  const std::lock_guard lock(m_mutex);
  const auto customer_state = m_customers.find(customer);
  JR_CHECK(customer_state != m_customers.end());
  customer_state->second.m_gate.Release();
}

std::vector<ShareWish> AdmissionTable::Wishes(const FleetState& state,
                                              TimePoint now) {
  const std::lock_guard lock(m_mutex);
  const double base_share = m_base_share.UsableFraction(now);
  std::vector<ShareWish> wishes;
  for (const auto& [customer, customer_state] : m_customers) {
    const auto contract = state.FindContract(customer);
    if (contract == nullptr) {
      continue;
    }
    const double demand = customer_state.m_gate.DemandFraction(*contract, now) *
                          kDemandHeadroomFactor;
    if (demand > base_share) {
      wishes.push_back(ShareWish{customer, std::min(1.0, demand) - base_share});
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
  const double base_share = m_base_share.UsableFraction(now);
  for (const ShareWish& wish : wishes) {
    const auto contract = state.FindContract(wish.m_customer);
    if (contract == nullptr || wish.m_fraction <= 0) {
      continue;
    }
    CustomerState& customer_state = m_customers[wish.m_customer];
    const double lent = customer_state.m_ledger.Lend(
        borrower, wish.m_fraction, base_share,
        customer_state.m_gate.UsedFraction(*contract, now), now);
    grants.m_grants.push_back(ShareWish{wish.m_customer, lent});
  }
  return grants;
}

void AdmissionTable::RecordBorrowed(const InstanceId& lender,
                                    const ShareGrants& grants,
                                    TimePoint requested_at) {
  const std::lock_guard lock(m_mutex);
  if (grants.m_counts_borrower) {
    m_base_share.RecordConfirmation(lender);
  }
  for (const ShareWish& grant : grants.m_grants) {
    m_customers[grant.m_customer].m_ledger.RecordBorrowed(
        lender, grant.m_fraction, requested_at);
  }
}

}  // namespace jackdawrack
