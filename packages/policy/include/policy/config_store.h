#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "model/fleet_state.h"
#include "model/published_value.h"

namespace jackdawrack {

/// Name of the value that lists the instances.
inline constexpr std::string_view kInstancesName = "instances";

/// What became of a value offered to the store.
enum class ConfigVerdict {
  /// It is greater than what was there and is in force now.
  kApplied,
  /// What is there is the same or greater.
  kKept,
  /// It is invalid; what is there stays in force.
  kRefused,
};

/// The place of a value in the total order; the greater one is in force.
struct ConfigRank {
  /// Contract version, map revision, or the platform's revision for the list.
  std::uint64_t m_version = 0;
  /// Decides between two texts of the same version, alike on every instance.
  std::uint64_t m_text_hash = 0;

  friend auto operator<=>(const ConfigRank&, const ConfigRank&) = default;
  friend bool operator==(const ConfigRank&, const ConfigRank&) = default;
};

/// Name and rank of one value, by which two instances find what differs.
struct ValueDigest {
  std::string m_name;
  ConfigRank m_rank;

  friend auto operator<=>(const ValueDigest&, const ValueDigest&) = default;
  friend bool operator==(const ValueDigest&, const ValueDigest&) = default;
};

/// Number of groups that the names are hashed into for comparison.
inline constexpr std::size_t kDigestBuckets = 256;

/// One hash for each group of names; equal stores have equal hashes.
using BucketHashes = std::array<std::uint32_t, kDigestBuckets>;

/// Merges published values by a total order, so that every instance ends with
/// the same ones whatever the order of arrival, and none ever reverts.
class ConfigStore final {
 public:
  /// Offers a value read from the platform or received from a peer. Problems
  /// of an invalid one are added to `problems`.
  ConfigVerdict Offer(const PublishedValue& value,
                      std::vector<IniProblem>& problems);

  /// The parsed values in force.
  [[nodiscard]] const FleetState& State() const { return m_state; }

  /// The texts in force, for peers.
  [[nodiscard]] std::vector<PublishedValue> Values() const;

  /// The text in force under this name, or null.
  [[nodiscard]] const PublishedValue* Find(const std::string& name) const;

  /// The rank of the value in force, or nothing.
  [[nodiscard]] std::optional<ConfigRank> RankOf(const std::string& name) const;

  // Comparison with another store

  /// One hash over all names and ranks.
  [[nodiscard]] std::uint64_t RootHash() const;

  /// Hashes of the groups of names.
  [[nodiscard]] BucketHashes Buckets() const;

  /// Digests of all values, sorted by name.
  [[nodiscard]] std::vector<ValueDigest> Digests() const;

  /// Digests of the values in the groups marked true.
  [[nodiscard]] std::vector<ValueDigest> DigestsIn(
      const std::vector<bool>& buckets) const;

  /// True when two texts of one version were seen for this name.
  [[nodiscard]] bool HasConflict(const std::string& name) const;

 private:
  struct Held {
    ConfigRank m_rank;
    PublishedValue m_value;
    bool m_conflict = false;
  };

  ConfigVerdict OfferContract(const PublishedValue& value,
                              std::vector<IniProblem>& problems);
  ConfigVerdict OfferMap(const PublishedValue& value,
                         std::vector<IniProblem>& problems);
  ConfigVerdict OfferInstances(const PublishedValue& value,
                               std::vector<IniProblem>& problems);

  // Keeps the greater of the held and the offered value.
  bool Advance(const PublishedValue& value, std::uint64_t version);

  FleetState m_state;
  std::map<std::string, Held> m_held;
  std::array<std::uint64_t, kDigestBuckets> m_buckets{};
};

/// The group that a name belongs to.
[[nodiscard]] std::size_t BucketOf(const std::string& name);

}  // namespace jackdawrack
