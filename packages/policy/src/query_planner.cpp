#include "policy/query_planner.h"

#include <unordered_map>

#include "core/check.h"
#include "core/hash.h"

namespace jackdawrack {
namespace {

// The preference of one domain for one shard; the least one is chosen.
struct DomainRank {
  bool m_tried = false;
  bool m_is_slow = false;
  bool m_is_remote = false;
  std::uint64_t m_spread = 0;

  friend auto operator<=>(const DomainRank&, const DomainRank&) = default;
};

DomainRank RankDomain(const Upstream& replica,
                      const KeyRange& part,
                      const Shard& shard,
                      const FailureDomain& own_domain,
                      const TriedDomains& tried,
                      const ReplicaSet& avoid) {
  DomainRank rank;
  rank.m_is_slow =
      avoid.count(ReplicaKey{replica.m_domain, shard.m_range.m_begin}) != 0;
  rank.m_tried = tried.Contains(replica.m_domain, part);
  rank.m_is_remote = replica.m_domain != own_domain;
  if (rank.m_is_remote) {
    rank.m_spread =
        MixHash(shard.m_range.m_begin, Hash64(replica.m_domain.Text()));
  }
  return rank;
}

// The owner to ask for `part` of a shard, or null if no replica has one.
const Instance* ChooseOwner(const FleetView& view,
                            const CollectionMap& collection,
                            std::size_t shard_position,
                            const KeyRange& part,
                            const FailureDomain& own_domain,
                            const TriedDomains& tried,
                            const ReplicaSet& avoid) {
  const Shard& shard = collection.Shards()[shard_position];
  const std::size_t block = collection.BlockOfShard(shard_position);
  const Instance* best = nullptr;
  DomainRank best_rank;
  for (const std::uint32_t position : shard.m_replicas) {
    const Upstream& replica = collection.Upstreams()[position];
    if (replica.m_state != UpstreamState::kLive) {
      continue;
    }
    const Instance* owner =
        view.Owners().OwnerOf(collection.Name(), block, replica.m_domain);
    if (owner == nullptr) {
      continue;
    }
    const DomainRank rank =
        RankDomain(replica, part, shard, own_domain, tried, avoid);
    if (best == nullptr || rank < best_rank) {
      best = owner;
      best_rank = rank;
    }
  }
  return best;
}

// Adds a range to the share of its owner.
class PlanBuilder final {
 public:
  void Place(const Instance& owner, const KeyRange& part) {
    const auto [found, is_new] =
        m_positions.emplace(&owner, m_plan.m_shares.size());
    if (is_new) {
      m_plan.m_shares.push_back(OwnerShare{owner, {}});
    }
    m_plan.m_shares[found->second].m_ranges.push_back(part);
  }

  void LeaveOut(const KeyRange& part) { m_plan.m_unplaced.push_back(part); }

  QueryPlan Build() { return std::move(m_plan); }

 private:
  QueryPlan m_plan;
  std::unordered_map<const Instance*, std::size_t> m_positions;
};

}  // namespace

void TriedDomains::Add(const FailureDomain& domain, const KeyRange& range) {
  m_tried[domain].Add(range);
}

bool TriedDomains::Contains(const FailureDomain& domain,
                            const KeyRange& range) const {
  const auto found = m_tried.find(domain);
  return found != m_tried.end() && !found->second.CommonWith(range).empty();
}

QueryPlan PlanQuery(const FleetView& view,
                    const CollectionMap& collection,
                    const std::vector<KeyRange>& ranges,
                    const FailureDomain& own_domain,
                    const TriedDomains& tried,
                    const ReplicaSet& avoid) {
  PlanBuilder builder;
  for (const KeyRange& range : ranges) {
    JR_CHECK(range.IsValid());
    std::size_t position = collection.ShardAt(range.m_begin);

    // Walk the shards that the range touches
    for (; position < collection.Shards().size(); ++position) {
      const KeyRange part =
          Intersect(collection.Shards()[position].m_range, range);
      if (!part.IsValid()) {
        break;
      }
      const Instance* owner = ChooseOwner(view, collection, position, part,
                                          own_domain, tried, avoid);
      if (owner == nullptr) {
        builder.LeaveOut(part);
      } else {
        builder.Place(*owner, part);
      }
    }
  }
  return builder.Build();
}

}  // namespace jackdawrack
