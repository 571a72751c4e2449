#pragma once

#include <cstdint>
#include <string_view>

namespace jackdawrack {

/// 64-bit XXH3 of `bytes`; equal on every instance and in every build.
[[nodiscard]] std::uint64_t Hash64(std::string_view bytes,
                                   std::uint64_t seed = 0);

/// Mixes two hashes into one; cheaper than hashing joined text.
[[nodiscard]] constexpr std::uint64_t MixHash(std::uint64_t a,
                                              std::uint64_t b) {
  std::uint64_t mixed = a ^ (b + 0x9e3779b97f4a7c15ULL + (a << 6) + (a >> 2));
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31);
}

}  // namespace jackdawrack
