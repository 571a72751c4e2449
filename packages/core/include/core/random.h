#pragma once

#include <cstdint>

namespace jackdawrack {

/// A random number from the operating system, fresh in every process.
[[nodiscard]] std::uint64_t RandomEpoch();

/// A uniform number in [0, bound), from a generator local to the thread.
[[nodiscard]] std::uint64_t RandomBelow(std::uint64_t bound);

}  // namespace jackdawrack
