#pragma once

#include <cstdint>

#include "core/boot_clock.h"
#include "core/hash.h"

namespace jackdawrack {

/// A piece of work that is always the same, by which an instance measures its
/// own speed.
class SpeedProbe final {
 public:
  /// Does the work and returns how long it took.
  Duration Measure() {
    const TimePoint began = BootClock().Now();
    std::uint64_t mixed = 1;
    for (std::uint64_t step = 0; step < kSteps; ++step) {
      mixed = MixHash(mixed, step);
    }
    m_result = mixed;
    return BootClock().Now() - began;
  }

 private:
  /// Some ten microseconds of a whole core.
  static constexpr std::uint64_t kSteps = 2'000;

  /// Written so that the work is not optimized away.
  volatile std::uint64_t m_result = 0;
};

}  // namespace jackdawrack
