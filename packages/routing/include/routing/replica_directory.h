#pragma once

#include <map>
#include <optional>
#include <vector>

#include "routing/replica_record.h"

namespace jackdawrack {

/// The published replicas known to this instance.
///
/// Records arrive from the store and from peers in any order; a record of an
/// older incarnation never replaces a newer one. After a store outage, removals
/// take effect only after a grace period, because records expire during the
/// outage while their upstreams are still running.
class ReplicaDirectory final {
 public:
  /// Time for which missing records are kept after a store outage. Running
  /// upstreams republish their records within about 2 s, as specified by the
  /// store.
  static constexpr Milliseconds kMissingGracePeriod{2'300};

  /// Applies a record; returns false if it is older than the known one.
  bool Apply(const ReplicaRecord& record);

  /// Drops a record. Within the grace period after a store outage, marks it as
  /// missing instead.
  void Remove(const UpstreamId& id, TimePoint now);

  /// Marks a record as missing; it is dropped after the grace period.
  void MarkMissing(const UpstreamId& id, TimePoint now);

  /// Applies a complete listing; records absent from it are treated as removed.
  void ApplyListing(const std::vector<ReplicaRecord>& listed, TimePoint now);

  /// Records that the store was unreachable until `now`.
  void RecordStoreOutage(TimePoint now) {
    m_removals_deferred_until = now + kMissingGracePeriod;
  }

  /// Drops missing records whose grace period has ended; returns true if any
  /// was dropped.
  bool DropExpired(TimePoint now);

  /// Returns all records, including draining and missing ones, ordered by id.
  [[nodiscard]] std::vector<ReplicaRecord> Records() const;

  /// True if the record is missing and not yet dropped.
  [[nodiscard]] bool IsMissing(const UpstreamId& id) const;

  /// Returns the ids of the records that are missing and not yet dropped.
  [[nodiscard]] std::vector<UpstreamId> MissingIds() const;

  /// Returns the number of records, including missing ones.
  [[nodiscard]] std::size_t Size() const { return m_entries.size(); }

 private:
  struct Entry {
    ReplicaRecord m_record;
    /// Set while the record is missing.
    std::optional<TimePoint> m_drop_at;
  };

  std::map<UpstreamId, Entry> m_entries;
  /// Removals before this time only mark records as missing.
  TimePoint m_removals_deferred_until{};
};

}  // namespace jackdawrack
