#pragma once

#include <functional>

#include "routing/published_change.h"
#include "routing/replica_directory.h"
#include "routing/route_table.h"

namespace jackdawrack {

/// The newest published configuration and replicas that this instance knows.
/// A greater configuration version wins whatever its source; nothing reverts.
class PublishedState final {
 public:
  using Listener = std::function<void()>;

  /// Called after each change of the table or the replicas.
  void OnChange(Listener listener) { m_listener = std::move(listener); }

  /// Takes changes in the order in which they were made.
  void Apply(const std::vector<PublishedChange>& changes, TimePoint now);

  /// Takes a whole listing; records that it lacks count as removed.
  void ApplyListing(const std::vector<PublishedChange>& listing, TimePoint now);

  /// Notes that the store was unreachable until `now`.
  void NoteDisturbance(TimePoint now) { m_directory.NoteDisturbance(now); }

  /// Drops records that stayed missing after a disturbance.
  void DropLapsed(TimePoint now);

  /// The table in force; null until a first configuration is known.
  [[nodiscard]] const RouteTablePtr& Table() const { return m_table; }

  [[nodiscard]] const ReplicaDirectory& Directory() const {
    return m_directory;
  }

  /// Configuration and replicas are known.
  [[nodiscard]] bool IsComplete() const {
    return m_table != nullptr && m_has_listing;
  }

 private:
  bool TakeConfig(const RoutingConfig& config);
  void Notify() const;

  ReplicaDirectory m_directory;
  RouteTablePtr m_table;
  bool m_has_listing = false;
  Listener m_listener;
};

}  // namespace jackdawrack
