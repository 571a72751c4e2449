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

/// Name of the published value that holds the instance list.
inline constexpr std::string_view kInstanceListName = "instances";

/// Result of merging a value into the store.
enum class ConfigMergeResult {
  /// The value ranks higher than the current one and replaced it.
  kApplied,
  /// The current value ranks the same or higher, or the name is unknown.
  kIgnored,
  /// The value is invalid; the current one stays in force.
  kRefused,
};

/// Position of a value in the total order; the highest rank is in force.
struct ConfigRank {
  /// Contract version, map revision, or for the instance list its generation
  /// and the configuration service's revision.
  std::uint64_t m_version = 0;
  /// Breaks the tie between two texts of one version in the same way on every
  /// instance.
  std::uint64_t m_text_hash = 0;

  friend auto operator<=>(const ConfigRank&, const ConfigRank&) = default;
  friend bool operator==(const ConfigRank&, const ConfigRank&) = default;
};

/// Name and rank of one value; two instances exchange these to find differing
/// values.
struct ValueDigest {
  std::string m_name;
  ConfigRank m_rank;

  friend auto operator<=>(const ValueDigest&, const ValueDigest&) = default;
  friend bool operator==(const ValueDigest&, const ValueDigest&) = default;
};

/// Number of buckets into which value names are hashed for comparison.
inline constexpr std::size_t kDigestBuckets = 256;

/// One hash per bucket; stores with equal contents have equal hashes.
using BucketHashes = std::array<std::uint32_t, kDigestBuckets>;

/// Holds the published values in force.
///
/// Values are merged by a total order (`ConfigRank`), so that all instances
/// converge on the same values regardless of the order of arrival, and a value
/// is never replaced by an older one. Not thread-safe.
class ConfigStore final {
 public:
  /// Merges a value read from the configuration service or received from a
  /// peer. If it is invalid, its problems are appended to `problems`.
  ConfigMergeResult Merge(const PublishedValue& value,
                          std::vector<IniProblem>& problems);

  /// Parsed values in force.
  [[nodiscard]] const FleetState& State() const { return m_state; }

  /// Unparsed values in force, sorted by name, as sent to peers.
  [[nodiscard]] std::vector<PublishedValue> Values() const;

  /// Unparsed value in force under this name, or null.
  [[nodiscard]] const PublishedValue* Find(const std::string& name) const;

  /// Rank of the value in force under this name, or `nullopt`.
  [[nodiscard]] std::optional<ConfigRank> RankOf(const std::string& name) const;

  // Comparison with another instance's store

  /// Hash over the names and ranks of all values.
  [[nodiscard]] std::uint64_t RootHash() const;

  /// Hash of each bucket.
  [[nodiscard]] BucketHashes GetBucketHashes() const;

  /// Digests of all values, sorted by name.
  [[nodiscard]] std::vector<ValueDigest> Digests() const;

  /// Digests of the values in the buckets set to true, sorted by name.
  [[nodiscard]] std::vector<ValueDigest> DigestsIn(
      const std::vector<bool>& is_selected) const;

  /// True if two texts of the version in force were seen under this name.
  [[nodiscard]] bool HasConflict(const std::string& name) const;

 private:
  struct Entry {
    ConfigRank m_rank;
    PublishedValue m_value;
    bool m_has_conflict = false;
  };

  ConfigMergeResult MergeContract(const PublishedValue& value,
                                  std::vector<IniProblem>& problems);
  ConfigMergeResult MergeMap(const PublishedValue& value,
                             std::vector<IniProblem>& problems);
  ConfigMergeResult MergeInstanceList(const PublishedValue& value,
                                      std::vector<IniProblem>& problems);

  // Replaces the current value if the given one ranks higher; returns whether
  // it did.
  bool ReplaceIfNewer(const PublishedValue& value, std::uint64_t version);

  FleetState m_state;
  std::map<std::string, Entry> m_entries;
  std::array<std::uint64_t, kDigestBuckets> m_bucket_hashes{};
};

/// Index of the bucket to which a value name belongs.
[[nodiscard]] std::size_t BucketIndex(const std::string& name);

}  // namespace jackdawrack
