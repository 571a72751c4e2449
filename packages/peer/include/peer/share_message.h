#pragma once

#include <vector>

#include "model/ids.h"

namespace jackdawrack {

/// A part of a customer's contract that an instance asks for, or lends.
struct ShareWish {
  Customer m_customer;
  /// From 0 to 1 of the whole contract.
  double m_fraction = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_customer, m_fraction);
  }
  friend bool operator==(const ShareWish&, const ShareWish&) = default;
};

/// What a peer lends.
struct ShareGrants {
  /// True if the peer's list names the borrower.
  bool m_counts_borrower = false;
  std::vector<ShareWish> m_grants;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_counts_borrower, m_grants);
  }
  friend bool operator==(const ShareGrants&, const ShareGrants&) = default;
};

}  // namespace jackdawrack
