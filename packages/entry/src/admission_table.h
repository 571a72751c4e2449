#pragma once

#include <map>
#include <memory>
#include <vector>

#include "core/clock.h"
#include "core/ranked_mutex.h"
#include "model/fleet_state.h"
#include "peer/share_message.h"
#include "policy/admission_gate.h"
#include "policy/base_share.h"
#include "policy/share_ledger.h"

namespace jackdawrack {

/// Admits requests within the limits of their contracts, and borrows and lends
/// shares of these limits. Thread-safe.
class AdmissionTable final {
 public:
  explicit AdmissionTable(InstanceId self);

  /// Sets the current instance list, which determines this instance's base
  /// share of each contract.
  void SetInstances(const std::vector<Instance>& instances, TimePoint now);

  /// True if this instance may use its base share of the contracts.
  [[nodiscard]] bool IsBaseShareUsable(TimePoint now);

  /// Decides whether one request is admitted. Each admitted request must be
  /// released with `Release`.
  AdmissionVerdict Admit(const Contract& contract, TimePoint now);

  /// Releases an admitted request that has ended.
  void Release(const Customer& customer);

  /// Returns the shares to request from peers now, one for each customer whose
  /// demand exceeds the base share.
  [[nodiscard]] std::vector<ShareWish> Wishes(const FleetState& state,
                                              TimePoint now);

  /// Lends unused shares to a peer and returns what it holds on loan from this
  /// instance.
  [[nodiscard]] ShareGrants Lend(const InstanceId& borrower,
                                 const std::vector<ShareWish>& wishes,
                                 const FleetState& state,
                                 TimePoint now);

  /// Records what a peer lent in answer to a request sent at `requested_at`.
  void RecordBorrowed(const InstanceId& lender,
                      const ShareGrants& grants,
                      TimePoint requested_at);

 private:
  struct CustomerState {
    AdmissionGate m_gate;
    ShareLedger m_ledger{LoanSettings()};
  };

  RankedMutex m_mutex{LockRank::kLimits};
  const InstanceId m_self;
  BaseShare m_base_share;
  std::map<Customer, CustomerState> m_customers;
};

}  // namespace jackdawrack
