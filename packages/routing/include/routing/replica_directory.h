#pragma once

#include <map>
#include <optional>
#include <vector>

#include "routing/replica_record.h"

namespace jackdawrack {

/// The published replicas that new work may go to.
///
/// Records arrive in any order, from the store and from peers; one of an older
/// incarnation never replaces a newer one. While the store is disturbed its
/// removals are not believed at once, as records lapse there without their
/// upstream having gone.
class ReplicaDirectory final {
 public:
  /// After a disturbance records that are missing are kept this long; living
  /// upstreams have reported again by then (the store's page says about 2 s).
  static constexpr Milliseconds kLapseGrace{2'300};

  /// Takes a record; false if it is older than the known one.
  bool Apply(const ReplicaRecord& record);

  /// Drops a record, or marks it as missing while removals are in doubt.
  void Remove(const UpstreamId& id, TimePoint now);

  /// Marks a record as missing; it is dropped after the grace.
  void MarkMissing(const UpstreamId& id, TimePoint now);

  /// Takes a whole listing: what it lacks counts as removed.
  void ApplyListing(const std::vector<ReplicaRecord>& listed, TimePoint now);

  /// Notes that the store was unreachable until `now`.
  void NoteDisturbance(TimePoint now) { m_doubt_until = now + kLapseGrace; }

  /// Drops what has been missing for longer than the grace; true if any.
  bool DropLapsed(TimePoint now);

  /// All records, draining ones included, by id.
  [[nodiscard]] std::vector<ReplicaRecord> Records() const;

  /// Records that are missing and not yet dropped.
  [[nodiscard]] std::vector<UpstreamId> Missing() const;

  [[nodiscard]] std::size_t Size() const { return m_entries.size(); }

 private:
  struct Entry {
    ReplicaRecord m_record;
    std::optional<TimePoint> m_drop_at;
  };

  std::map<UpstreamId, Entry> m_entries;
  TimePoint m_doubt_until{};
};

}  // namespace jackdawrack
