#pragma once

#include <ctime>

#include "core/clock.h"

namespace jackdawrack {

/// Time since the machine started, suspended time included, so that a deadline
/// passes while the machine stands still.
class BootClock final {
 public:
  [[nodiscard]] TimePoint Now() const {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return TimePoint(std::chrono::seconds(now.tv_sec) +
                     std::chrono::nanoseconds(now.tv_nsec));
  }

  [[nodiscard]] UnixMs WallNowMs() const { return SteadyClock().WallNowMs(); }
};

static_assert(Clock<BootClock>);

}  // namespace jackdawrack
