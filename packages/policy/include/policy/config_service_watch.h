#pragma once

#include <cstdint>
#include <optional>
#include <random>

#include "core/clock.h"

namespace jackdawrack {

/// Maximum time that a read waits for a change. Bounds the time until a
/// rollback of the service to an older revision is detected.
inline constexpr Milliseconds kConfigServiceWatchTimeout{3000};

/// Minimum time between two reads by one instance, so that a burst of changes
/// is fetched with few calls.
inline constexpr Milliseconds kMinConfigServiceReadInterval{200};

/// Maximum delay before the next attempt while the service does not answer.
inline constexpr Milliseconds kMaxConfigServiceBackoff{5000};

/// Parameters of a read of the configuration service.
struct ConfigServiceRead {
  /// Returns only changes after this revision; 0 reads all values.
  std::uint64_t m_after_revision = 0;
  /// Maximum time to wait for a change.
  Milliseconds m_max_wait{0};

  friend bool operator==(const ConfigServiceRead&,
                         const ConfigServiceRead&) = default;
};

/// Schedules this instance's reads of the configuration service: incremental
/// reads from the last revision, and full reads of all values.
///
/// After a failure, a pause of the process or a rollback of the service to an
/// older revision, the next read is a full one, since changes may have been
/// missed. Not thread-safe.
class ConfigServiceWatch final {
 public:
  /// `seed` randomizes the delays between failed reads.
  explicit ConfigServiceWatch(std::uint64_t seed) : m_random(seed) {}

  /// Starts or stops watching. A read in progress is not cancelled.
  void SetWatching(bool watching);

  [[nodiscard]] bool IsWatching() const { return m_watching; }

  /// Starts the next read if one is due. Its result has to be reported to
  /// `OnRead` or `OnReadFailed`; until then no other read starts.
  std::optional<ConfigServiceRead> NextRead(TimePoint now);

  /// Reports that a read returned all changes up to `revision`.
  void OnRead(std::uint64_t revision, TimePoint now);

  /// Reports that a read failed.
  void OnReadFailed(TimePoint now);

  /// Makes the next read a full one.
  void RequestFullRead() { m_full_read_requested = true; }

  /// Start time of the current read, or else of the last one.
  [[nodiscard]] TimePoint ReadStartedAt() const { return m_read_started_at; }

 private:
  Milliseconds NextBackoff();

  std::mt19937_64 m_random;
  bool m_watching = false;
  bool m_read_in_progress = false;
  ConfigServiceRead m_read;
  TimePoint m_read_started_at{};
  TimePoint m_next_read_at{};
  TimePoint m_next_full_read_at{};
  std::uint64_t m_revision = 0;
  bool m_full_read_requested = true;
  std::uint32_t m_consecutive_failures = 0;
};

}  // namespace jackdawrack
