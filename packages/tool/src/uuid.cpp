#include "tool/uuid.h"

#include <fmt/format.h>

#include "core/random.h"

namespace jackdawrack {

std::string MakeUuidV7(UnixMs now) {
  const auto time = static_cast<std::uint64_t>(now);
  return fmt::format("{:08x}-{:04x}-7{:03x}-{:04x}-{:012x}", time >> 16,
                     time & 0xffff, RandomBelow(0x1000),
                     0x8000 + RandomBelow(0x4000), RandomBelow(1ULL << 48));
}

}  // namespace jackdawrack
