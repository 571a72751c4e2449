#pragma once

#include <cstddef>
#include <vector>

#include "model/ids.h"
#include "policy/key_slot.h"

namespace jackdawrack {

/// Maximum number of witnesses of a slot.
inline constexpr std::size_t kMaxWitnesses = 9;

/// Number of grants out of `count` witnesses that form a quorum: a majority or
/// two thirds (rounded down), whichever is greater. With two thirds, quorums of
/// two instance lists that differ by a few members still share a witness.
[[nodiscard]] constexpr std::size_t WitnessQuorum(std::size_t count) {
  const std::size_t majority = count / 2 + 1;
  const std::size_t two_thirds = count * 2 / 3;
  return majority > two_thirds ? majority : two_thirds;
}

/// Maximum number of members by which two witness sets of this size may differ
/// while every two quorums of them still share a witness.
[[nodiscard]] constexpr std::size_t MaxReplacedMembers(std::size_t count) {
  return 2 * WitnessQuorum(count) - count - 1;
}

/// The witnesses of a slot: the `kMaxWitnesses` listed instances of the whole
/// fleet with the highest rendezvous hash, or all if there are no more.
[[nodiscard]] std::vector<InstanceId> WitnessesOf(
    KeySlot slot,
    const std::vector<InstanceId>& listed);

/// The live instances in their order of preference as holder of a slot, by
/// rendezvous hash.
[[nodiscard]] std::vector<InstanceId> HolderOrder(
    KeySlot slot,
    const std::vector<InstanceId>& live);

}  // namespace jackdawrack
