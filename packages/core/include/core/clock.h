#pragma once

#include <chrono>
#include <concepts>

namespace jackdawrack {

/// Monotonic time; every deadline and delay inside a process is kept in it.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using Milliseconds = std::chrono::milliseconds;

/// Longest duration taken from another process; it can be added to any time of
/// this process without an overflow.
inline constexpr Milliseconds kMaxReceivedDuration =
    std::chrono::hours(24 * 365);

/// Wall-clock milliseconds since 1970-01-01 UTC, used only between processes.
using UnixMs = std::int64_t;

/// A source of monotonic and wall-clock time.
template <typename T>
concept Clock = requires(const T& clock) {
  { clock.Now() } -> std::same_as<TimePoint>;
  { clock.WallNowMs() } -> std::same_as<UnixMs>;
};

/// The runtime's clock.
class SteadyClock final {
 public:
  [[nodiscard]] TimePoint Now() const {
    return std::chrono::steady_clock::now();
  }

  [[nodiscard]] UnixMs WallNowMs() const {
    const auto since_epoch =
        std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Milliseconds>(since_epoch).count();
  }
};

/// A paused clock that moves only when a test advances it.
class ManualClock final {
 public:
  [[nodiscard]] TimePoint Now() const { return m_now; }
  [[nodiscard]] UnixMs WallNowMs() const { return m_wall_ms; }

  /// Moves both readings forward by `step`.
  void Advance(Milliseconds step) {
    m_now += step;
    m_wall_ms += step.count();
  }

 private:
  TimePoint m_now{std::chrono::hours(1)};
  UnixMs m_wall_ms = 1'700'000'000'000;
};

static_assert(Clock<SteadyClock>);
static_assert(Clock<ManualClock>);

/// Whole milliseconds from `from` to `to`; zero when `to` is already past.
[[nodiscard]] inline std::uint32_t RemainingMs(TimePoint from, TimePoint to) {
  if (to <= from) {
    return 0;
  }
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<Milliseconds>(to - from).count());
}

}  // namespace jackdawrack
