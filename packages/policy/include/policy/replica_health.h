#pragma once

#include <cstdint>

#include "core/clock.h"

namespace jackdawrack {

/// What an owner knows of one upstream by its own observation. It takes work
/// unless it said that it is leaving or could not be connected to; then a
/// probe, which runs nothing, brings it back.
class ReplicaHealth final {
 public:
  /// Connect failures in a row after which an upstream counts as lost.
  static constexpr std::uint32_t kFailuresToEject = 2;
  /// Wait between two probes.
  static constexpr Milliseconds kProbeInterval{500};

  /// True once, when this failure makes the upstream count as lost.
  bool OnConnectFailure(TimePoint now) {
    if (++m_failures != kFailuresToEject) {
      return false;
    }
    m_next_probe = now + kProbeInterval;
    return true;
  }

  /// Notes any reply; it proves that the upstream can be reached.
  void OnReply() { m_failures = 0; }

  /// True when this report changed whether it counts as leaving.
  bool OnReport(bool is_draining, TimePoint now) {
    if (is_draining == m_is_draining) {
      return false;
    }
    m_is_draining = is_draining;
    m_next_probe = now + kProbeInterval;
    return true;
  }

  [[nodiscard]] bool IsLost() const { return m_failures >= kFailuresToEject; }
  [[nodiscard]] bool IsDraining() const { return m_is_draining; }

  /// True when a probe is due; the next one is then due an interval later.
  bool TakeProbe(TimePoint now) {
    if ((!IsLost() && !m_is_draining) || now < m_next_probe) {
      return false;
    }
    m_next_probe = now + kProbeInterval;
    return true;
  }

 private:
  std::uint32_t m_failures = 0;
  bool m_is_draining = false;
  TimePoint m_next_probe{};
};

}  // namespace jackdawrack
