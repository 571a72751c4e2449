#pragma once

#include <vector>

#include "model/ids.h"

namespace jackdawrack {

/// Share of a customer's contract that an instance requests or lends.
struct ContractShare {
  Customer m_customer;
  /// Fraction of the whole contract, from 0 to 1.
  double m_fraction = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_customer, m_fraction);
  }
  friend bool operator==(const ContractShare&, const ContractShare&) = default;
};

/// The shares that a peer lends to the requesting instance (the borrower).
struct ShareGrants {
  /// True if the peer's instance list contains the borrower.
  bool m_is_borrower_known = false;
  std::vector<ContractShare> m_grants;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_is_borrower_known, m_grants);
  }
  friend bool operator==(const ShareGrants&, const ShareGrants&) = default;
};

}  // namespace jackdawrack
