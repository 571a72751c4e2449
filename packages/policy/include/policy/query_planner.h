#pragma once

#include <vector>

#include "model/range_set.h"
#include "policy/fleet_view.h"
#include "policy/slow_replicas.h"

namespace jackdawrack {

/// The ranges that one owner is asked for.
struct OwnerShare {
  Instance m_owner;
  std::vector<KeyRange> m_ranges;

  friend bool operator==(const OwnerShare&, const OwnerShare&) = default;
};

/// What to ask of whom, and the ranges that nobody can be asked for.
struct QueryPlan {
  std::vector<OwnerShare> m_shares;
  std::vector<KeyRange> m_unplaced;
};

/// Ranges that were already tried in a domain, so that a retry goes elsewhere.
class TriedDomains final {
 public:
  /// Notes that `range` was asked for in `domain`.
  void Add(const FailureDomain& domain, const KeyRange& range);

  /// True when any key of `range` was asked for in `domain`.
  [[nodiscard]] bool Contains(const FailureDomain& domain,
                              const KeyRange& range) const;

 private:
  std::map<FailureDomain, RangeSet> m_tried;
};

/// Chooses the owners for `ranges`: the own domain first, then the others in
/// an order that differs by shard. A replica in `avoid` comes after the others,
/// a domain that was tried before comes last.
[[nodiscard]] QueryPlan PlanQuery(const FleetView& view,
                                  const CollectionMap& collection,
                                  const std::vector<KeyRange>& ranges,
                                  const FailureDomain& own_domain,
                                  const TriedDomains& tried,
                                  const ReplicaSet& avoid = {});

}  // namespace jackdawrack
