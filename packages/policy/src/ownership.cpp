#include "policy/ownership.h"

#include <algorithm>
#include <cmath>

#include "core/check.h"
#include "core/hash.h"

namespace jackdawrack {
namespace {

std::vector<std::uint64_t> HashNames(const std::vector<Instance>& instances) {
  std::vector<std::uint64_t> hashes;
  hashes.reserve(instances.size());
  for (const Instance& instance : instances) {
    hashes.push_back(Hash64(instance.m_id.Text()));
  }
  return hashes;
}

/// Maximum number of upstreams of an owner, as a multiple of the mean.
constexpr double kMaxLoadFactor = 2.0;

// A block to assign within one domain.
struct DomainBlock {
  std::uint64_t m_hash = 0;
  std::size_t m_block = 0;
  std::uint32_t m_upstreams = 0;
  std::vector<std::uint32_t>* m_owners = nullptr;
};

// Returns the number of upstreams in `domain` for each block of a collection.
std::vector<std::uint32_t> CountUpstreams(const CollectionMap& collection,
                                          const FailureDomain& domain) {
  std::vector<std::uint32_t> counts(collection.BlockCount());
  for (std::size_t s = 0; s < collection.Shards().size(); ++s) {
    for (const std::uint32_t replica : collection.Shards()[s].m_replicas) {
      if (collection.Upstreams()[replica].m_domain == domain) {
        ++counts[collection.BlockOfShard(s)];
      }
    }
  }
  return counts;
}

// Assigns blocks to the instances of one domain.
class DomainAssignment final {
 public:
  explicit DomainAssignment(const std::vector<Instance>& instances)
      : m_hashes(HashNames(instances)), m_loads(instances.size()) {}

  // Assigns every block to the instance of greatest weight that has capacity
  // left.
  void Assign(std::vector<DomainBlock> blocks) {
    std::uint64_t total = 0;
    for (const DomainBlock& block : blocks) {
      total += block.m_upstreams;
    }
    const auto max_load = static_cast<std::uint64_t>(
        std::ceil(kMaxLoadFactor * static_cast<double>(total) /
                  static_cast<double>(m_hashes.size())));

    // Assign in hash order, so that the order of collection names does not
    // decide which blocks get their first choice
    std::sort(blocks.begin(), blocks.end(),
              [](const DomainBlock& a, const DomainBlock& b) {
                return a.m_hash < b.m_hash;
              });
    for (const DomainBlock& block : blocks) {
      const std::uint32_t owner = ChooseOwner(block, max_load);
      m_loads[owner] += block.m_upstreams;
      (*block.m_owners)[block.m_block] = owner;
    }
  }

 private:
  // If no instance has capacity left, the greatest weight decides. An instance
  // without load takes a block of any size.
  [[nodiscard]] std::uint32_t ChooseOwner(const DomainBlock& block,
                                          std::uint64_t max_load) const {
    std::uint32_t best = 0;
    std::uint64_t best_weight = 0;
    bool best_fits = false;
    for (std::uint32_t i = 0; i < m_hashes.size(); ++i) {
      const bool fits =
          m_loads[i] == 0 || m_loads[i] + block.m_upstreams <= max_load;
      const std::uint64_t weight = OwnershipWeight(block.m_hash, m_hashes[i]);
      const bool is_better =
          fits != best_fits ? fits : i == 0 || weight > best_weight;
      if (is_better) {
        best = i;
        best_weight = weight;
        best_fits = fits;
      }
    }
    return best;
  }

  const std::vector<std::uint64_t> m_hashes;
  std::vector<std::uint64_t> m_loads;
};

}  // namespace

std::uint64_t OwnershipWeight(std::uint64_t block_hash,
                              std::uint64_t instance_hash) {
  return MixHash(block_hash, instance_hash);
}

Ownership Ownership::Build(const FleetState& state) {
  Ownership ownership;

  // Collect the live instances of each domain
  for (const Instance& instance : state.m_instances) {
    if (instance.m_state == InstanceState::kLive) {
      ownership.m_domains[instance.m_domain].m_instances.push_back(instance);
    }
  }

  // Assign the blocks of all collections in each domain
  for (auto& [domain, table] : ownership.m_domains) {
    std::vector<DomainBlock> blocks;
    for (const auto& [name, collection] : state.m_collections) {
      const std::uint64_t seed = Hash64(name.Text());
      const std::vector<std::uint32_t> counts =
          CountUpstreams(*collection, domain);
      std::vector<std::uint32_t>& owners = table.m_owners[name];
      owners.resize(counts.size());
      for (std::size_t block = 0; block < counts.size(); ++block) {
        blocks.push_back(
            DomainBlock{MixHash(seed, block), block, counts[block], &owners});
      }
    }
    DomainAssignment(table.m_instances).Assign(std::move(blocks));
  }
  return ownership;
}

const Instance* Ownership::OwnerOf(const CollectionName& collection,
                                   std::size_t block,
                                   const FailureDomain& domain) const {
  const auto table = m_domains.find(domain);
  if (table == m_domains.end()) {
    return nullptr;
  }
  const auto owners = table->second.m_owners.find(collection);
  if (owners == table->second.m_owners.end()) {
    return nullptr;
  }
  JR_CHECK(block < owners->second.size());
  return &table->second.m_instances[owners->second[block]];
}

CollectionOwners Ownership::ForCollection(
    const CollectionMap& collection) const {
  CollectionOwners owners;
  for (const FailureDomain& domain : collection.Domains()) {
    CollectionOwners::DomainOwners& entry = owners.m_domains.emplace_back();
    const auto table = m_domains.find(domain);
    if (table == m_domains.end()) {
      continue;
    }
    const auto positions = table->second.m_owners.find(collection.Name());
    if (positions != table->second.m_owners.end()) {
      entry.m_instances = &table->second.m_instances;
      entry.m_positions = &positions->second;
    }
  }
  return owners;
}

std::vector<FailureDomain> Ownership::Domains() const {
  std::vector<FailureDomain> domains;
  for (const auto& [domain, table] : m_domains) {
    domains.push_back(domain);
  }
  return domains;
}

const std::vector<Instance>& Ownership::LiveInstances(
    const FailureDomain& domain) const {
  static const std::vector<Instance> kNone;
  const auto table = m_domains.find(domain);
  return table == m_domains.end() ? kNone : table->second.m_instances;
}

}  // namespace jackdawrack
