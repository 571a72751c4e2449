#pragma once

#include "core/clock.h"

namespace jackdawrack {

/// Detects a standing queue, which is caused by overload, as opposed to a
/// transient queue, which forms during a pause or restart and drains on its
/// own.
class StandingQueue final {
 public:
  /// Minimum age of a standing queue. Longer than a pause of a replica and the
  /// time to drain the backlog from it.
  static constexpr Milliseconds kMinStandingTime{400};
  /// Time for which the queue must stay empty to end. While requests are
  /// refused because of overload, the queue repeatedly becomes empty for a
  /// shorter time.
  static constexpr Milliseconds kEmptyTime{100};

  /// Records whether requests are queued; must be called whenever this changes.
  void Update(bool is_waiting, TimePoint now);

  /// Returns true if the queue is a standing queue at `now`.
  [[nodiscard]] bool IsStanding(TimePoint now) const;

 private:
  [[nodiscard]] bool HasEnded(TimePoint now) const;

  bool m_is_waiting = false;
  /// Start of the current queue, including short empty periods.
  TimePoint m_started_at{};
  /// Last time at which requests were queued.
  TimePoint m_last_waiting_at{};
};

}  // namespace jackdawrack
