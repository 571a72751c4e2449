#pragma once

#include <cstdint>
#include <optional>
#include <random>

#include "core/clock.h"

namespace jackdawrack {

/// Longest time that a watch waits for a change; bounds how long a service that
/// went back in time stays unnoticed.
inline constexpr Milliseconds kPlatformWatchWait{3000};

/// Least time between two reads of one instance, so that a burst of changes
/// costs few calls.
inline constexpr Milliseconds kPlatformReadSpacing{200};

/// Longest time between two reads while the service does not answer.
inline constexpr Milliseconds kMaxPlatformBackoff{5000};

/// A read of the configuration service that is due.
struct PlatformRead {
  /// Changes after this revision; 0 reads everything.
  std::uint64_t m_after = 0;
  Milliseconds m_wait{0};

  friend bool operator==(const PlatformRead&, const PlatformRead&) = default;
};

/// Decides when this instance reads the configuration service, and from which
/// revision.
///
/// After a failure, a pause of the process, or a revision that went back, the
/// next read asks for everything, since changes may have been missed.
class PlatformWatch final {
 public:
  explicit PlatformWatch(std::uint64_t seed) : m_random(seed) {}

  /// Starts or ends the reading; a read that runs is left to end.
  void SetWatching(bool watching);

  [[nodiscard]] bool IsWatching() const { return m_watching; }

  /// The read to begin now, or nothing; its end has to be reported.
  std::optional<PlatformRead> NextRead(TimePoint now);

  /// Reports a read that brought the changes up to `revision`.
  void OnRead(std::uint64_t revision, TimePoint now);

  /// Reports a read that failed.
  void OnFailed(TimePoint now);

  /// Makes the next read ask for everything.
  void ReadAll() { m_read_all = true; }

  /// When the read that runs, or ran last, began.
  [[nodiscard]] TimePoint StartedAt() const { return m_started_at; }

 private:
  Milliseconds NextBackoff();

  std::mt19937_64 m_random;
  bool m_watching = false;
  bool m_running = false;
  PlatformRead m_read;
  TimePoint m_started_at{};
  TimePoint m_not_before{};
  TimePoint m_read_all_at{};
  std::uint64_t m_revision = 0;
  bool m_read_all = true;
  std::uint32_t m_failures = 0;
};

}  // namespace jackdawrack
