#include "core/random.h"

#include <random>

#include "core/check.h"

namespace jackdawrack {

std::uint64_t RandomEpoch() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

std::uint64_t RandomBelow(std::uint64_t bound) {
  JR_CHECK(bound > 0);
  thread_local std::mt19937_64 generator(RandomEpoch());
  return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(generator);
}

}  // namespace jackdawrack
