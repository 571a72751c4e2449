#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "model/collection_map.h"
#include "model/contract.h"
#include "model/instance.h"

namespace jackdawrack {

/// All published knowledge that one instance acts on; never changed once made.
struct FleetState {
  std::map<Customer, std::shared_ptr<const Contract>> m_contracts;
  std::map<CollectionName, std::shared_ptr<const CollectionMap>> m_collections;
  /// Live and leaving instances, sorted by name.
  std::vector<Instance> m_instances;

  /// The contract of a customer, or null.
  [[nodiscard]] std::shared_ptr<const Contract> FindContract(
      const Customer& customer) const {
    const auto found = m_contracts.find(customer);
    return found == m_contracts.end() ? nullptr : found->second;
  }

  /// The map of a collection, or null.
  [[nodiscard]] std::shared_ptr<const CollectionMap> FindCollection(
      const CollectionName& name) const {
    const auto found = m_collections.find(name);
    return found == m_collections.end() ? nullptr : found->second;
  }

  /// The instance of this name, or null.
  [[nodiscard]] const Instance* FindInstance(const InstanceId& id) const {
    for (const Instance& instance : m_instances) {
      if (instance.m_id == id) {
        return &instance;
      }
    }
    return nullptr;
  }
};

}  // namespace jackdawrack
