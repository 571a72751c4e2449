#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "model/fleet_state.h"

namespace jackdawrack {

/// The owners of one collection's blocks, by position of the failure domain in
/// `CollectionMap::Domains`. Valid as long as the ownership it came from.
class CollectionOwners final {
 public:
  /// The owner, or null if the domain has no live instance.
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

/// Which instance owns each block of shards in each failure domain.
///
/// Chosen by rendezvous hash over the domain's live instances with a bounded
/// load, so that one instance more or less moves little beyond its own share of
/// blocks and none owns much more than the mean. Built once for a fleet state;
/// look-ups do not allocate.
class Ownership final {
 public:
  /// Ranks every block against every live instance of each domain.
  static Ownership Build(const FleetState& state);

  /// The owner, or null if the domain has no live instance.
  [[nodiscard]] const Instance* OwnerOf(const CollectionName& collection,
                                        std::size_t block,
                                        const FailureDomain& domain) const;

  /// The owners of one collection, for many look-ups in a row.
  [[nodiscard]] CollectionOwners ForCollection(
      const CollectionMap& collection) const;

  /// Domains that have a live instance.
  [[nodiscard]] std::vector<FailureDomain> Domains() const;

  /// Live instances of a domain, sorted by name.
  [[nodiscard]] const std::vector<Instance>& LiveInstances(
      const FailureDomain& domain) const;

 private:
  struct DomainTable {
    std::vector<Instance> m_instances;
    /// By collection: position in `m_instances` for each block.
    std::map<CollectionName, std::vector<std::uint32_t>> m_owners;
  };

  std::map<FailureDomain, DomainTable> m_domains;
};

/// Rendezvous weight of one instance for one block; the greatest one owns it.
[[nodiscard]] std::uint64_t OwnershipWeight(std::uint64_t block_hash,
                                            std::uint64_t instance_hash);

}  // namespace jackdawrack
