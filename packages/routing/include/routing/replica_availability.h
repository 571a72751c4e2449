#pragma once

#include <cstdint>

#include "core/clock.h"

namespace jackdawrack {

/// Whether a replica may get new requests, as far as its own responses tell.
enum class Availability : std::uint8_t {
  kAvailable,
  /// The replica leaves: it may be used only if there is no other one.
  kLastResort,
  kUnavailable,
};

/// What one process of an upstream has said in its responses about further
/// requests of this instance: that it leaves, or that it wants none for a
/// while. Published records do not change it, as they may be older.
class ReplicaAvailability final {
 public:
  /// Longest pause that is accepted.
  static constexpr Milliseconds kMaxPause = std::chrono::hours(1);

  /// Subtracted from the bound on requests to an upstream that leaves, for the
  /// time in which a request is in transit.
  static constexpr Milliseconds kTransitMargin{500};

  /// Records a response which says that the upstream leaves. An upstream may
  /// get requests as a last resort for less than `drain_bound` after that.
  void RecordLeaving(Milliseconds drain_bound, TimePoint now);

  /// Share of a pause by which it is extended at most.
  static constexpr double kMaxSpread = 0.1;

  /// Records a refusal with the request to wait for `duration`, limited to
  /// `kMaxPause`. A pause that ends later holds. `spread`, drawn from 0 to 1 by
  /// each instance, extends the pause, so that instances which were refused at
  /// the same time do not return at the same time.
  void RecordPause(Milliseconds duration, double spread, TimePoint now);

  [[nodiscard]] Availability At(TimePoint now) const;

  [[nodiscard]] bool IsLeaving() const { return m_is_leaving; }

  /// End of the latest pause, which may have passed.
  [[nodiscard]] TimePoint PausedUntil() const { return m_paused_until; }

 private:
  bool m_is_leaving = false;
  TimePoint m_usable_until{};
  TimePoint m_paused_until{};
};

}  // namespace jackdawrack
