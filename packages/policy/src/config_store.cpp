#include "policy/config_store.h"

#include "core/hash.h"

namespace jackdawrack {
namespace {

constexpr std::string_view kContractPrefix = "contracts/";
constexpr std::string_view kMapPrefix = "map/";

bool StartsWith(const std::string& text, std::string_view prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

// The low bits of an instance list's version hold the configuration service's
// revision; the bits above them hold the list's generation.
constexpr unsigned kRevisionBits = 48;

std::uint64_t ListVersion(const PublishedValue& value) {
  return (value.m_generation << kRevisionBits) | value.m_revision;
}

std::uint64_t HashOf(const std::string& name, const ConfigRank& rank) {
  return MixHash(Hash64(name), MixHash(rank.m_version, rank.m_text_hash));
}

}  // namespace

std::size_t BucketOf(const std::string& name) {
  return Hash64(name) % kDigestBuckets;
}

ConfigVerdict ConfigStore::Offer(const PublishedValue& value,
                                 std::vector<IniProblem>& problems) {
  if (StartsWith(value.m_name, kContractPrefix)) {
    return OfferContract(value, problems);
  }
  if (StartsWith(value.m_name, kMapPrefix)) {
    return OfferMap(value, problems);
  }
  if (value.m_name == kInstancesName) {
    return OfferInstances(value, problems);
  }
  return ConfigVerdict::kKept;
}

ConfigVerdict ConfigStore::OfferContract(const PublishedValue& value,
                                         std::vector<IniProblem>& problems) {
  std::vector<IniProblem> found;
  const auto contract = std::make_shared<const Contract>(
      Contract::Parse(value.m_name, value.m_text, found));

  // Check that the value is published under the contract's customer
  if (found.empty() &&
      kContractPrefix.data() + contract->Name().Text() != value.m_name) {
    found.push_back(IniProblem{value.m_name, "contract", "customer",
                               "does not match the customer in the value's "
                               "name"});
  }
  if (!found.empty()) {
    problems.insert(problems.end(), found.begin(), found.end());
    return ConfigVerdict::kRefused;
  }
  if (!Advance(value, contract->Version())) {
    return ConfigVerdict::kKept;
  }
  m_state.m_contracts[contract->Name()] = contract;
  return ConfigVerdict::kApplied;
}

ConfigVerdict ConfigStore::OfferMap(const PublishedValue& value,
                                    std::vector<IniProblem>& problems) {
  std::vector<IniProblem> found;
  const auto map = std::make_shared<const CollectionMap>(
      CollectionMap::Parse(value.m_name, value.m_text, found));
  if (!found.empty()) {
    problems.insert(problems.end(), found.begin(), found.end());
    return ConfigVerdict::kRefused;
  }
  if (!Advance(value, map->Revision())) {
    return ConfigVerdict::kKept;
  }
  m_state.m_collections[map->Name()] = map;
  return ConfigVerdict::kApplied;
}

ConfigVerdict ConfigStore::OfferInstances(const PublishedValue& value,
                                          std::vector<IniProblem>& problems) {
  std::vector<IniProblem> found;
  std::vector<Instance> instances =
      ParseInstanceList(value.m_name, value.m_text, found);
  if (!found.empty()) {
    problems.insert(problems.end(), found.begin(), found.end());
    return ConfigVerdict::kRefused;
  }
  if (!Advance(value, ListVersion(value))) {
    return ConfigVerdict::kKept;
  }
  m_state.m_instances = std::move(instances);
  return ConfigVerdict::kApplied;
}

bool ConfigStore::Advance(const PublishedValue& value, std::uint64_t version) {
  const ConfigRank rank{version, Hash64(value.m_text)};
  Held& held = m_held[value.m_name];

  // Record a conflict between two texts of one version; the higher hash wins
  if (held.m_rank.m_version == version &&
      held.m_rank.m_text_hash != rank.m_text_hash) {
    held.m_conflict = true;
  }
  if (rank <= held.m_rank) {
    return false;
  }
  if (version > held.m_rank.m_version) {
    held.m_conflict = false;
  }
  std::uint64_t& bucket = m_buckets[BucketOf(value.m_name)];
  if (!held.m_value.m_name.empty()) {
    bucket ^= HashOf(value.m_name, held.m_rank);
  }
  bucket ^= HashOf(value.m_name, rank);
  held.m_rank = rank;
  held.m_value = value;
  return true;
}

std::vector<PublishedValue> ConfigStore::Values() const {
  std::vector<PublishedValue> values;
  for (const auto& [name, held] : m_held) {
    values.push_back(held.m_value);
  }
  return values;
}

const PublishedValue* ConfigStore::Find(const std::string& name) const {
  const auto found = m_held.find(name);
  return found == m_held.end() ? nullptr : &found->second.m_value;
}

std::optional<ConfigRank> ConfigStore::RankOf(const std::string& name) const {
  const auto found = m_held.find(name);
  if (found == m_held.end()) {
    return std::nullopt;
  }
  return found->second.m_rank;
}

std::uint64_t ConfigStore::RootHash() const {
  std::uint64_t root = 0;
  for (const std::uint64_t bucket : m_buckets) {
    root = MixHash(root, bucket);
  }
  return root;
}

BucketHashes ConfigStore::Buckets() const {
  BucketHashes hashes{};
  for (std::size_t i = 0; i < kDigestBuckets; ++i) {
    hashes[i] = static_cast<std::uint32_t>(m_buckets[i]);
  }
  return hashes;
}

std::vector<ValueDigest> ConfigStore::Digests() const {
  return DigestsIn(std::vector<bool>(kDigestBuckets, true));
}

std::vector<ValueDigest> ConfigStore::DigestsIn(
    const std::vector<bool>& buckets) const {
  std::vector<ValueDigest> digests;
  for (const auto& [name, held] : m_held) {
    if (buckets[BucketOf(name)]) {
      digests.push_back(ValueDigest{name, held.m_rank});
    }
  }
  return digests;
}

bool ConfigStore::HasConflict(const std::string& name) const {
  const auto found = m_held.find(name);
  return found != m_held.end() && found->second.m_conflict;
}

}  // namespace jackdawrack
