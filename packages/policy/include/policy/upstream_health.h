#pragma once

#include <cstdint>

#include "core/clock.h"

namespace jackdawrack {

/// Health of one upstream as its owner observes it. The upstream is used unless
/// it reports that it is draining or connections to it fail. In these states it
/// is probed at an interval, by requests that execute nothing, until a reply
/// proves it reachable or reports that it is no longer draining. Not
/// thread-safe.
class UpstreamHealth final {
 public:
  /// Consecutive connect failures after which an upstream is unreachable.
  static constexpr std::uint32_t kFailuresUntilUnreachable = 2;
  /// Time between two probes.
  static constexpr Milliseconds kProbeInterval{500};

  /// Records a failed connection attempt. Returns true if this failure makes
  /// the upstream unreachable.
  bool OnConnectFailure(TimePoint now) {
    if (++m_connect_failures != kFailuresUntilUnreachable) {
      return false;
    }
    m_next_probe = now + kProbeInterval;
    return true;
  }

  /// Records any reply, which proves that the upstream is reachable.
  void OnReply() { m_connect_failures = 0; }

  /// Records whether the upstream reports that it is draining. Returns true if
  /// this differs from the last report.
  bool OnDrainingReport(bool is_draining, TimePoint now) {
    if (is_draining == m_is_draining) {
      return false;
    }
    m_is_draining = is_draining;
    m_next_probe = now + kProbeInterval;
    return true;
  }

  [[nodiscard]] bool IsUnreachable() const {
    return m_connect_failures >= kFailuresUntilUnreachable;
  }
  [[nodiscard]] bool IsDraining() const { return m_is_draining; }

  /// Returns true if a probe is due, and schedules the next one. Always false
  /// for an upstream that is neither unreachable nor draining.
  bool TryStartProbe(TimePoint now) {
    if ((!IsUnreachable() && !m_is_draining) || now < m_next_probe) {
      return false;
    }
    m_next_probe = now + kProbeInterval;
    return true;
  }

 private:
  std::uint32_t m_connect_failures = 0;
  bool m_is_draining = false;
  TimePoint m_next_probe{};
};

}  // namespace jackdawrack
