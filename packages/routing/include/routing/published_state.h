#pragma once

#include <functional>

#include "routing/published_change.h"
#include "routing/replica_directory.h"
#include "routing/route_table.h"

namespace jackdawrack {

/// The latest published configuration and replicas known to this instance.
/// A configuration replaces the current one only if its version is greater,
/// whatever its source.
class PublishedState final {
 public:
  using Listener = std::function<void()>;

  /// Sets the listener that is called after each change of the route table or
  /// the replicas.
  void OnChange(Listener listener) { m_listener = std::move(listener); }

  /// Applies changes; they must be in the order in which they were made.
  void Apply(const std::vector<PublishedChange>& changes, TimePoint now);

  /// Applies a complete listing; records absent from it are treated as removed.
  void ApplyListing(const std::vector<PublishedChange>& listing, TimePoint now);

  /// Records that the store was unreachable until `now`.
  void RecordStoreOutage(TimePoint now) { m_directory.RecordStoreOutage(now); }

  /// Drops missing records whose grace period has ended.
  void DropExpired(TimePoint now);

  /// Returns the current route table, or null before the first configuration.
  [[nodiscard]] const RouteTablePtr& Table() const { return m_table; }

  /// Returns the known replicas.
  [[nodiscard]] const ReplicaDirectory& Directory() const {
    return m_directory;
  }

  /// Returns true once a configuration and a listing of replicas were received.
  [[nodiscard]] bool IsComplete() const {
    return m_table != nullptr && m_has_listing;
  }

 private:
  bool ApplyConfig(const RoutingConfig& config);
  void Notify() const;

  ReplicaDirectory m_directory;
  RouteTablePtr m_table;
  bool m_has_listing = false;
  Listener m_listener;
};

}  // namespace jackdawrack
