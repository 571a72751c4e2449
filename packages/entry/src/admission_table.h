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

/// Admits requests under their contracts, and borrows and lends parts of the
/// contracts' limits.
class AdmissionTable final {
 public:
  explicit AdmissionTable(InstanceId self);

  /// Notes the instance list in use.
  void SetInstances(const std::vector<Instance>& instances, TimePoint now);

  /// True when this instance may use its own part of the contracts.
  [[nodiscard]] bool IsBaseUsable(TimePoint now);

  /// Decides on one request; an admitted one has to be released.
  AdmissionVerdict Admit(const Contract& contract, TimePoint now);

  /// Notes that an admitted request has ended.
  void Release(const Customer& customer);

  /// What to ask of every peer now; empty if no customer needs more.
  [[nodiscard]] std::vector<ContractShare> Wishes(const FleetState& state,
                                                  TimePoint now);

  /// Lends to a peer what is free.
  [[nodiscard]] ShareGrants Lend(const InstanceId& borrower,
                                 const std::vector<ContractShare>& wishes,
                                 const FleetState& state,
                                 TimePoint now);

  /// Notes what a peer lent to wishes sent at `asked_at`.
  void Borrow(const InstanceId& lender,
              const ShareGrants& grants,
              TimePoint asked_at);

 private:
  struct Row {
    AdmissionGate m_gate;
    ShareLedger m_ledger{LoanSettings()};
  };

  RankedMutex m_mutex{LockRank::kLimits};
  const InstanceId m_self;
  BaseShare m_base;
  std::map<Customer, Row> m_rows;
};

}  // namespace jackdawrack
