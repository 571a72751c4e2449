#pragma once

#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "testing/gateway_fleet.h"

namespace jackdawrack {

/// The processes of a soak: signals them, starts them again, and knows which
/// may lose a request. Signals and `Poll` belong to one thread.
class SoakInstances final {
 public:
  SoakInstances(GatewayFleet& fleet, std::size_t count);

  /// Begins a planned stop; repeated signals count from the first one.
  void Terminate(std::size_t instance);
  void Kill(std::size_t instance);
  void Suspend(std::size_t instance);
  void Continue(std::size_t instance);
  void HangUp(std::size_t instance);
  /// Starts the process anew and begins a planned stop this long after it has
  /// begun to handle signals.
  void TerminateAtStart(std::size_t instance, Milliseconds delay);

  /// Notes processes that ended, and starts them again after a while.
  void Poll();

  /// Stops all, and waits for their end.
  void EndAll();

  // From any thread

  /// True if a process was killed after `connected`, or was suspended after
  /// `sent`, so that a request of that connection may get no answer.
  [[nodiscard]] bool MayLose(std::size_t instance,
                             TimePoint connected,
                             TimePoint sent) const;
  /// True if the process was stopping or away at this time or later, on a
  /// connection from this time.
  [[nodiscard]] bool MayClose(std::size_t instance,
                              TimePoint connected,
                              TimePoint at) const;

  /// Processes that ended by themselves, and planned stops that failed.
  [[nodiscard]] const std::vector<std::string>& Faults() const {
    return m_faults;
  }
  [[nodiscard]] std::size_t EndedByThemselves() const {
    return m_ended_by_themselves;
  }
  [[nodiscard]] std::size_t PlannedStops() const { return m_planned_stops; }
  [[nodiscard]] Milliseconds LongestStop() const { return m_longest_stop; }

 private:
  enum class Cause : std::uint8_t { kNone, kStop, kKill, kCrash };

  /// Time in which a process is on its way out, or away.
  struct Outage {
    Cause m_cause = Cause::kNone;
    TimePoint m_from;
    TimePoint m_until = TimePoint::max();
  };

  struct Member {
    Cause m_cause = Cause::kNone;
    TimePoint m_stop_at;
    TimePoint m_start_at;
    bool m_is_suspended = false;
    std::optional<Milliseconds> m_stop_after_start;
    std::vector<Outage> m_outages;
    std::vector<Outage> m_suspensions;
  };

  [[nodiscard]] bool CanSignal(std::size_t instance) const;
  void SetOut(Member& member, Cause cause);
  void NoteEnd(std::size_t instance);
  void Restart(std::size_t instance);
  void AddFault(std::size_t instance, const std::string& what);
  [[nodiscard]] std::string LastLines(std::size_t instance) const;

  GatewayFleet& m_fleet;
  const TimePoint m_begin;
  mutable std::mutex m_mutex;
  std::vector<Member> m_members;
  std::vector<std::string> m_faults;
  std::size_t m_ended_by_themselves = 0;
  std::size_t m_planned_stops = 0;
  Milliseconds m_longest_stop{0};
};

}  // namespace jackdawrack
