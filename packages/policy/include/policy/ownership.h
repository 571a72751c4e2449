#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "model/fleet_state.h"

namespace jackdawrack {

/// The owners of one collection's blocks. Failure domains are given as
/// positions in `CollectionMap::Domains`. Refers to the `Ownership` that
/// returned it, which has to outlive it.
class CollectionOwners final {
 public:
  /// Returns the owner of a block, or null if the domain has no live instance.
  [[nodiscard]] const Instance* OwnerOf(std::size_t block,
                                        std::uint32_t domain) const {
    const DomainOwners& owners = m_domains[domain];
    return owners.m_positions == nullptr
               ? nullptr
               : &(*owners.m_instances)[(*owners.m_positions)[block]];
  }

 private:
  friend class Ownership;

  struct DomainOwners {
    const std::vector<Instance>* m_instances = nullptr;
    const std::vector<std::uint32_t>* m_positions = nullptr;
  };

  std::vector<DomainOwners> m_domains;
};

/// Maps each block of shards to the instance that owns it, per failure domain.
///
/// Uses rendezvous hashing with bounded loads over the live instances of each
/// domain: adding or removing an instance reassigns few blocks besides its own,
/// and no instance owns much more than the mean. Immutable once built;
/// `OwnerOf` does not allocate.
class Ownership final {
 public:
  /// Assigns owners for all collections and instances of `state`. Takes time
  /// proportional to the blocks times the live instances of each domain.
  static Ownership Build(const FleetState& state);

  /// Returns the owner of a block, or null if the collection is unknown or the
  /// domain has no live instance.
  [[nodiscard]] const Instance* OwnerOf(const CollectionName& collection,
                                        std::size_t block,
                                        const FailureDomain& domain) const;

  /// Returns the owners of one collection, for faster repeated look-ups.
  [[nodiscard]] CollectionOwners ForCollection(
      const CollectionMap& collection) const;

  /// Returns the failure domains that have a live instance, sorted by name.
  [[nodiscard]] std::vector<FailureDomain> Domains() const;

  /// Returns the live instances of a domain, sorted by name.
  [[nodiscard]] const std::vector<Instance>& LiveInstances(
      const FailureDomain& domain) const;

 private:
  struct DomainTable {
    std::vector<Instance> m_instances;
    /// For each collection, the owner of each block as position in
    /// `m_instances`.
    std::map<CollectionName, std::vector<std::uint32_t>> m_owners;
  };

  std::map<FailureDomain, DomainTable> m_domains;
};

/// Returns the rendezvous weight of an instance for a block. The instance of
/// greatest weight that has capacity left owns the block.
[[nodiscard]] std::uint64_t OwnershipWeight(std::uint64_t block_hash,
                                            std::uint64_t instance_hash);

}  // namespace jackdawrack
