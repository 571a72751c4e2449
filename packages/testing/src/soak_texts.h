#pragma once

#include <cstdint>
#include <random>
#include <string>

#include "standin/replica_standin.h"

namespace jackdawrack {

/// The sets of shards between which a soak repartitions.
inline constexpr const char* kSoakShardSets[] = {"shard", "next"};
/// The shards of each set.
inline constexpr std::size_t kSoakShards = 10;
/// Records that a scattered answer may be bounded to.
inline constexpr std::size_t kSoakTopRecords[] = {1, 3, 100};

/// A record of another writer under "servers/".
struct OddRecord {
  std::string m_key;
  std::string m_value;
  /// True if the value is to be served as it is.
  bool m_is_encoded = false;
};

/// One of `kOddKeys` keys that belong to no upstream.
inline constexpr std::size_t kOddKeys = 8;
[[nodiscard]] std::string OddKey(std::uint64_t number);

/// Draws what another writer may have written, with `usable_address` among the
/// addresses.
[[nodiscard]] OddRecord DrawOddRecord(std::mt19937_64& random,
                                      const std::string& key,
                                      const std::string& usable_address);

/// Draws a valid configuration with unusual limits, timeouts and weights.
[[nodiscard]] std::string DrawConfig(std::mt19937_64& random,
                                     std::uint64_t version);

/// Draws bytes that are no whole answer.
[[nodiscard]] RawAnswer DrawRawAnswer(std::mt19937_64& random);

}  // namespace jackdawrack
