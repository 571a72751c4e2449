#pragma once

#include <cstddef>
#include <vector>

#include "model/ids.h"
#include "policy/key_slot.h"

namespace jackdawrack {

/// Greatest number of witnesses of a slot.
inline constexpr std::size_t kMaxWitnesses = 9;

/// Witnesses that have to acknowledge out of `count`: a majority, and two
/// thirds where there are enough, so that quorums drawn from two lists that
/// differ by a few members still share a witness.
[[nodiscard]] constexpr std::size_t WitnessQuorum(std::size_t count) {
  const std::size_t majority = count / 2 + 1;
  const std::size_t two_thirds = count * 2 / 3;
  return majority > two_thirds ? majority : two_thirds;
}

/// Greatest number of replaced members at which two quorums of sets of this
/// size must still share a witness.
[[nodiscard]] constexpr std::size_t ReplacedMembersTolerated(
    std::size_t count) {
  return 2 * WitnessQuorum(count) - count - 1;
}

/// The witnesses of a slot, chosen from the listed instances of the whole
/// fleet by rendezvous hash; all of them in a small fleet.
[[nodiscard]] std::vector<InstanceId> WitnessesOf(
    KeySlot slot,
    const std::vector<InstanceId>& listed);

/// The instances in the order in which they are preferred as holder of a slot.
[[nodiscard]] std::vector<InstanceId> HolderOrder(
    KeySlot slot,
    const std::vector<InstanceId>& live);

}  // namespace jackdawrack
