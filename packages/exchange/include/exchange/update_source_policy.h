#pragma once

#include <map>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "exchange/peer_message.h"

namespace jackdawrack {

/// Timing of an `UpdateSourcePolicy`.
struct UpdateSourceSettings {
  /// Greatest age of the view of the published state before the instance looks
  /// for another source.
  Milliseconds m_max_view_age{1'500};
  /// Time for which a reader that failed to answer is not asked again.
  Milliseconds m_failed_reader_pause{5'000};
  /// The same for a reader that answered with a view that is too old.
  Milliseconds m_stale_reader_pause{1'000};
  /// Time for which a peer may know a greater revision before the instance
  /// looks for another source.
  Milliseconds m_max_revision_lag{700};
  /// Longest time that a starting instance waits to learn of its peers before
  /// it takes a role.
  Milliseconds m_discovery_time{1'000};
  /// Time from the start until an instance that has no role yet reads the store
  /// once; not less than `m_discovery_time` if it does not.
  Milliseconds m_first_read_delay{0};

  friend bool operator==(const UpdateSourceSettings&,
                         const UpdateSourceSettings&) = default;
};

/// Part of an instance in spreading published changes.
enum class StoreRole : std::uint8_t {
  /// Reads the store for itself, as its failure domain is small.
  kAlone,
  /// Reads the store for the instances of its failure domain.
  kReader,
  /// Follows the readers of its failure domain.
  kFollower,
};

/// The sources from which an instance learns of published changes.
struct UpdateSources {
  /// True if the instance reads the store itself.
  bool m_reads_store = false;
  /// The peer to ask for changes, if any.
  std::optional<PeerEntry> m_reader;

  friend bool operator==(const UpdateSources&, const UpdateSources&) = default;
};

/// What a peer reported about its own view of the published state.
struct ReportedView {
  /// Time since the store confirmed the view.
  Duration m_age{};
  /// Revision of the view.
  std::uint64_t m_revision = 0;
};

/// Decides from where an instance learns of published changes.
///
/// In a large failure domain a few instances read the store and the others
/// follow them. A follower believes a reader only while the store has confirmed
/// the reader's view recently. It moves to the next reader after a failure, and
/// reads the store itself if no reader is left, if its view is too old or if a
/// peer has known a greater revision for some time. A reader that has lost the
/// store follows another reader meanwhile. A starting instance reads the store
/// once, and then waits until it knows its peers.
class UpdateSourcePolicy final {
 public:
  UpdateSourcePolicy(InstanceId self,
                     UpdateSourceSettings settings,
                     TimePoint started_at);

  /// Sets the live instances of this failure domain, including this one.
  void SetInstances(std::vector<PeerEntry> instances);

  /// Ends the wait for peers; the known instances are complete.
  void EndDiscovery() { m_is_discovery_over = true; }

  /// Records a reply of the reader and the reported age of its view.
  void RecordReply(const InstanceId& reader,
                   const ReportedView& view,
                   TimePoint now);

  /// Records that the reader did not answer.
  void RecordFailure(const InstanceId& reader, TimePoint now);

  /// Records that the store confirmed the view.
  void RecordStoreResponse(TimePoint now);

  /// Records the revision that a peer knows, and that of this instance.
  void RecordPeerRevision(std::uint64_t peer_revision,
                          std::uint64_t own_revision,
                          TimePoint now);

  /// Records a new revision of this instance.
  void RecordOwnRevision(std::uint64_t own_revision);

  /// Returns the sources to use at `now`.
  [[nodiscard]] UpdateSources Decide(TimePoint now) const;

  [[nodiscard]] StoreRole Role() const { return m_role; }

  /// The known readers of the failure domain other than this instance.
  [[nodiscard]] const std::vector<PeerEntry>& OtherReaders() const {
    return m_readers;
  }

  /// Time up to which the store has confirmed the view; `TimePoint{}` if never.
  [[nodiscard]] TimePoint ConfirmedAt() const { return m_confirmed_at; }

  /// True if the store has not confirmed the view recently.
  [[nodiscard]] bool IsViewStale(TimePoint now) const;

 private:
  void PauseReader(const InstanceId& reader, Milliseconds pause, TimePoint now);
  [[nodiscard]] bool IsBehind(TimePoint now) const;
  [[nodiscard]] std::optional<PeerEntry> NextReader(TimePoint now) const;

  const InstanceId m_self;
  const UpdateSourceSettings m_settings;
  const TimePoint m_started_at;
  /// Readers other than this instance, in the order in which it asks them.
  std::vector<PeerEntry> m_readers;
  std::map<InstanceId, TimePoint> m_failed_until;
  StoreRole m_role = StoreRole::kAlone;
  bool m_is_discovery_over = false;
  TimePoint m_confirmed_at{};
  std::uint64_t m_peer_revision = 0;
  /// Since when a peer has known `m_peer_revision` and this instance has not.
  std::optional<TimePoint> m_behind_since;
};

}  // namespace jackdawrack
