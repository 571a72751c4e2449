#pragma once

#include "core/clock.h"

namespace jackdawrack {

/// Tells a queue that stands, since more arrives than is served, from one that
/// a pause or a restart leaves behind and that soon empties by itself.
class StandingQueue final {
 public:
  /// A queue stands once it has not been empty for this time; longer than a
  /// pause of a replica with the work left behind by it.
  static constexpr Milliseconds kStandingTime{400};
  /// It stands no more once it has been empty for this time: while requests are
  /// refused, it empties again and again.
  static constexpr Milliseconds kEmptyTime{100};

  /// Notes whether requests wait now; to be called whenever that changes.
  void Note(bool is_waiting, TimePoint now);

  [[nodiscard]] bool IsStanding(TimePoint now) const;

 private:
  [[nodiscard]] bool HasEnded(TimePoint now) const;

  bool m_is_waiting = false;
  TimePoint m_began{};
  /// When it was last not empty.
  TimePoint m_last_waiting{};
};

}  // namespace jackdawrack
