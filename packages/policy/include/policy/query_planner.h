#pragma once

#include <vector>

#include "model/range_set.h"
#include "policy/fleet_view.h"
#include "policy/slow_replicas.h"

namespace jackdawrack {

/// The key ranges that a query requests from one owner.
struct PlannedSubQuery {
  Instance m_owner;
  std::vector<KeyRange> m_ranges;

  friend bool operator==(const PlannedSubQuery&,
                         const PlannedSubQuery&) = default;
};

/// The distribution of a query's key ranges over owners.
struct QueryPlan {
  std::vector<PlannedSubQuery> m_sub_queries;
  /// Ranges without a live upstream that has an owner.
  std::vector<KeyRange> m_unplaced_ranges;
};

/// The key ranges that a query has already requested from each failure domain,
/// so that hedges and retries prefer other domains.
class TriedDomains final {
 public:
  /// Records that `range` was requested from `domain`.
  void Add(const FailureDomain& domain, const KeyRange& range);

  /// Returns true if any key of `range` was requested from `domain`.
  [[nodiscard]] bool Contains(const FailureDomain& domain,
                              const KeyRange& range) const;

 private:
  std::map<FailureDomain, RangeSet> m_tried;
};

/// Splits `ranges` by shard and chooses an owner for each part. Prefers, in
/// this order: domains that are not in `tried`, replicas that are not in
/// `avoid`, and `own_domain`. Remaining ties are broken by a hash of block and
/// domain, which spreads the load over the other domains.
[[nodiscard]] QueryPlan PlanQuery(const FleetView& view,
                                  const CollectionMap& collection,
                                  const std::vector<KeyRange>& ranges,
                                  const FailureDomain& own_domain,
                                  const TriedDomains& tried,
                                  const ReplicaSet& avoid = {});

}  // namespace jackdawrack
