#pragma once

#include <map>
#include <memory>

#include "routing/replica_availability.h"
#include "routing/replica_record.h"

namespace jackdawrack {

/// The availability of all upstreams, by process. What an upstream has said is
/// remembered while its record is missing, as the record may come back.
class AvailabilityTable final {
 public:
  /// Time for which an upstream without a record is remembered: longer than
  /// the longest outage of the store that a record is expected to outlast.
  static constexpr std::chrono::minutes kRetention{30};

  /// Maximum number of upstreams without a record that are remembered.
  static constexpr std::size_t kMaxRemembered = 10'000;

  /// Returns the state of the process that published `record`; it is shared by
  /// all calls for the same process.
  std::shared_ptr<ReplicaAvailability> Find(const ReplicaRecord& record);

  /// Forgets upstreams that nothing but the table has referred to for
  /// `kRetention`, and those that have said nothing.
  void Forget(TimePoint now);

  [[nodiscard]] std::size_t Size() const { return m_entries.size(); }

 private:
  struct Entry {
    std::uint64_t m_started_ms = 0;
    std::shared_ptr<ReplicaAvailability> m_availability;
    /// When `Forget` found no other reference for the first time.
    TimePoint m_unused_since = TimePoint::max();
  };

  std::map<UpstreamId, Entry> m_entries;
};

}  // namespace jackdawrack
