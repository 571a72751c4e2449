#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "model/ids.h"

namespace jackdawrack {

/// The contract of one customer as one instance has it in force.
struct ContractInForce {
  std::uint64_t m_version = 0;
  /// Tells two texts of one version apart.
  std::string m_text_hash;

  friend auto operator<=>(const ContractInForce&,
                          const ContractInForce&) = default;
  friend bool operator==(const ContractInForce&,
                         const ContractInForce&) = default;
};

/// The contracts in force on several instances, compared.
class ContractReport final {
 public:
  /// Adds what an instance answered on /v1/contracts; false if it could not be
  /// understood.
  [[nodiscard]] bool Add(const std::string& body);

  /// One row a customer and instance.
  [[nodiscard]] std::string ToText() const;

  /// Customers whose contract is not the same on all instances, or that some
  /// instance has no contract for.
  [[nodiscard]] std::vector<Customer> Disagreements() const;

 private:
  using ByInstance = std::map<InstanceId, ContractInForce>;

  [[nodiscard]] bool Agrees(const ByInstance& contracts) const;

  std::vector<InstanceId> m_instances;
  std::map<Customer, ByInstance> m_customers;
};

}  // namespace jackdawrack
