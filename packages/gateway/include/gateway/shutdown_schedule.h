#pragma once

#include <algorithm>

#include "core/clock.h"

namespace jackdawrack {

/// Stages of a planned stop, from the signal to the end of the grace period,
/// at which the process is killed.
class ShutdownSchedule final {
 public:
  /// Longest time for which connections still arrive after readiness has
  /// ended: the balancer asks once a second and acts on the second miss.
  static constexpr Milliseconds kBalancerLag{2'600};

  /// Reserved for the process to end by itself.
  static constexpr Milliseconds kExitMargin{400};

  /// Reserved before that for writing the last responses.
  static constexpr Milliseconds kResponseMargin{100};

  ShutdownSchedule(TimePoint began_at, Milliseconds grace_period)
      : m_began_at(began_at), m_grace_period(grace_period) {}

  /// From this time on, no connections are accepted and idle ones are closed.
  [[nodiscard]] TimePoint StopAcceptingAt() const {
    return m_began_at + std::min(kBalancerLag, m_grace_period / 2);
  }

  /// By this time, every request has to be answered.
  [[nodiscard]] TimePoint ResponsesDueAt() const {
    return std::max(ExitAt() - kResponseMargin, m_began_at);
  }

  /// At this time, the process ends.
  [[nodiscard]] TimePoint ExitAt() const {
    return m_began_at + std::max(m_grace_period - kExitMargin, Milliseconds(0));
  }

 private:
  TimePoint m_began_at{};
  Milliseconds m_grace_period{0};
};

}  // namespace jackdawrack
