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

std::uint64_t InstanceListVersion(const PublishedValue& value) {
  return (value.m_generation << kRevisionBits) | value.m_revision;
}

std::uint64_t EntryHash(const std::string& name, const ConfigRank& rank) {
  return MixHash(Hash64(name), MixHash(rank.m_version, rank.m_text_hash));
}

}  // namespace

std::size_t BucketIndex(const std::string& name) {
  return Hash64(name) % kDigestBuckets;
}

ConfigMergeResult ConfigStore::Merge(const PublishedValue& value,
                                     std::vector<IniProblem>& problems) {
  if (StartsWith(value.m_name, kContractPrefix)) {
    return MergeContract(value, problems);
  }
  if (StartsWith(value.m_name, kMapPrefix)) {
    return MergeMap(value, problems);
  }
  if (value.m_name == kInstanceListName) {
    return MergeInstanceList(value, problems);
  }
  return ConfigMergeResult::kIgnored;
}

ConfigMergeResult ConfigStore::MergeContract(
    const PublishedValue& value,
    std::vector<IniProblem>& problems) {
  std::vector<IniProblem> new_problems;
  const auto contract = std::make_shared<const Contract>(
      Contract::Parse(value.m_name, value.m_text, new_problems));

  // Check that the value is published under the contract's customer
  if (new_problems.empty() &&
      kContractPrefix.data() + contract->Name().Text() != value.m_name) {
    new_problems.push_back(
        IniProblem{value.m_name, "contract", "customer",
                   "does not match the customer in the value's name"});
  }
  if (!new_problems.empty()) {
    problems.insert(problems.end(), new_problems.begin(), new_problems.end());
    return ConfigMergeResult::kRefused;
  }
  if (!ReplaceIfNewer(value, contract->Version())) {
    return ConfigMergeResult::kIgnored;
  }
  m_state.m_contracts[contract->Name()] = contract;
  return ConfigMergeResult::kApplied;
}

ConfigMergeResult ConfigStore::MergeMap(const PublishedValue& value,
                                        std::vector<IniProblem>& problems) {
  std::vector<IniProblem> new_problems;
  const auto map = std::make_shared<const CollectionMap>(
      CollectionMap::Parse(value.m_name, value.m_text, new_problems));
  if (!new_problems.empty()) {
    problems.insert(problems.end(), new_problems.begin(), new_problems.end());
    return ConfigMergeResult::kRefused;
  }
  if (!ReplaceIfNewer(value, map->Revision())) {
    return ConfigMergeResult::kIgnored;
  }
  m_state.m_collections[map->Name()] = map;
  return ConfigMergeResult::kApplied;
}

ConfigMergeResult ConfigStore::MergeInstanceList(
    const PublishedValue& value,
    std::vector<IniProblem>& problems) {
  std::vector<IniProblem> new_problems;
  std::vector<Instance> instances =
      ParseInstanceList(value.m_name, value.m_text, new_problems);
  if (!new_problems.empty()) {
    problems.insert(problems.end(), new_problems.begin(), new_problems.end());
    return ConfigMergeResult::kRefused;
  }
  if (!ReplaceIfNewer(value, InstanceListVersion(value))) {
    return ConfigMergeResult::kIgnored;
  }
  m_state.m_instances = std::move(instances);
  return ConfigMergeResult::kApplied;
}

bool ConfigStore::ReplaceIfNewer(const PublishedValue& value,
                                 std::uint64_t version) {
  const ConfigRank rank{version, Hash64(value.m_text)};
  Entry& entry = m_entries[value.m_name];

  // Record a conflict between two texts of one version; the higher hash wins
  if (entry.m_rank.m_version == version &&
      entry.m_rank.m_text_hash != rank.m_text_hash) {
    entry.m_has_conflict = true;
  }
  if (rank <= entry.m_rank) {
    return false;
  }
  if (version > entry.m_rank.m_version) {
    entry.m_has_conflict = false;
  }
  std::uint64_t& bucket = m_bucket_hashes[BucketIndex(value.m_name)];
  if (!entry.m_value.m_name.empty()) {
    bucket ^= EntryHash(value.m_name, entry.m_rank);
  }
  bucket ^= EntryHash(value.m_name, rank);
  entry.m_rank = rank;
  entry.m_value = value;
  return true;
}

std::vector<PublishedValue> ConfigStore::Values() const {
  std::vector<PublishedValue> values;
  for (const auto& [name, entry] : m_entries) {
    values.push_back(entry.m_value);
  }
  return values;
}

const PublishedValue* ConfigStore::Find(const std::string& name) const {
  const auto found = m_entries.find(name);
  return found == m_entries.end() ? nullptr : &found->second.m_value;
}

std::optional<ConfigRank> ConfigStore::RankOf(const std::string& name) const {
  const auto found = m_entries.find(name);
  if (found == m_entries.end()) {
    return std::nullopt;
  }
  return found->second.m_rank;
}

std::uint64_t ConfigStore::RootHash() const {
  std::uint64_t root = 0;
  for (const std::uint64_t bucket : m_bucket_hashes) {
    root = MixHash(root, bucket);
  }
  return root;
}

BucketHashes ConfigStore::GetBucketHashes() const {
  BucketHashes hashes{};
  for (std::size_t i = 0; i < kDigestBuckets; ++i) {
    hashes[i] = static_cast<std::uint32_t>(m_bucket_hashes[i]);
  }
  return hashes;
}

std::vector<ValueDigest> ConfigStore::Digests() const {
  return DigestsIn(std::vector<bool>(kDigestBuckets, true));
}

std::vector<ValueDigest> ConfigStore::DigestsIn(
    const std::vector<bool>& is_selected) const {
  std::vector<ValueDigest> digests;
  for (const auto& [name, entry] : m_entries) {
    if (is_selected[BucketIndex(name)]) {
      digests.push_back(ValueDigest{name, entry.m_rank});
    }
  }
  return digests;
}

bool ConfigStore::HasConflict(const std::string& name) const {
  const auto found = m_entries.find(name);
  return found != m_entries.end() && found->second.m_has_conflict;
}

}  // namespace jackdawrack
