#pragma once

#include "core/clock.h"

namespace jackdawrack {

/// Durations and clock bounds of the lease protocol; the same on every
/// instance.
struct LeaseTiming {
  /// Lease duration, counted by the holder from the start of the round in
  /// which a quorum granted the lease.
  Milliseconds m_lease_duration{2000};
  /// Time by which a witness's promise outlasts the lease; covers monotonic
  /// clocks that run at different rates.
  Milliseconds m_drift_margin{200};
  /// Interval at which a holder renews its leases.
  Milliseconds m_renew_interval{500};
  /// Maximum deviation of an instance's wall clock from true time.
  Milliseconds m_max_clock_error{100};
  /// Maximum time by which a key's timestamp may lie ahead of the holder's wall
  /// clock.
  Milliseconds m_max_timestamp_lead{200};
  /// Time after a change of the instance list during which a lease also needs
  /// a quorum of the previous list.
  Milliseconds m_joint_quorum_period{6000};

  /// Time for which a witness keeps a promise. A new process abstains for the
  /// same time after its start.
  [[nodiscard]] Milliseconds PromiseDuration() const {
    return m_lease_duration + m_drift_margin;
  }

  /// Minimum distance between a lease's floor and the timestamp of a key that
  /// may run under it: the clock error of two holders plus the time by which a
  /// key's timestamp may lie ahead.
  [[nodiscard]] Milliseconds KeyTimestampMargin() const {
    return 2 * m_max_clock_error + m_max_timestamp_lead;
  }

  friend bool operator==(const LeaseTiming&, const LeaseTiming&) = default;
};

}  // namespace jackdawrack
