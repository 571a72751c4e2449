#include "policy/ownership.h"

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

std::uint32_t HeaviestInstance(std::uint64_t block_hash,
                               const std::vector<std::uint64_t>& instances) {
  std::uint32_t best = 0;
  std::uint64_t best_weight = 0;
  for (std::uint32_t i = 0; i < instances.size(); ++i) {
    const std::uint64_t weight = OwnershipWeight(block_hash, instances[i]);
    if (i == 0 || weight > best_weight) {
      best = i;
      best_weight = weight;
    }
  }
  return best;
}

}  // namespace

std::uint64_t OwnershipWeight(std::uint64_t block_hash,
                              std::uint64_t instance_hash) {
  return MixHash(block_hash, instance_hash);
}

Ownership Ownership::Build(const FleetState& state) {
  Ownership ownership;

  // Gather the live instances of each domain
  for (const Instance& instance : state.m_instances) {
    if (instance.m_state == InstanceState::kLive) {
      ownership.m_domains[instance.m_domain].m_instances.push_back(instance);
    }
  }

  // Choose an owner for every block in every domain
  for (auto& [domain, table] : ownership.m_domains) {
    const std::vector<std::uint64_t> hashes = HashNames(table.m_instances);
    for (const auto& [name, collection] : state.m_collections) {
      const std::uint64_t seed = Hash64(name.Text());
      std::vector<std::uint32_t>& owners = table.m_owners[name];
      owners.resize(collection->BlockCount());
      for (std::size_t block = 0; block < owners.size(); ++block) {
        owners[block] = HeaviestInstance(MixHash(seed, block), hashes);
      }
    }
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
