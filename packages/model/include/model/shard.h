#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "model/key_range.h"

namespace jackdawrack {

/// One shard: a key range and the replicas that hold it.
struct Shard {
  std::string m_name;
  KeyRange m_range;
  /// Positions in the collection's list of upstreams.
  std::vector<std::uint32_t> m_replicas;

  friend bool operator==(const Shard&, const Shard&) = default;
};

}  // namespace jackdawrack
