#include "policy/query_planner.h"

#include <unordered_map>

#include "core/check.h"
#include "core/hash.h"

namespace jackdawrack {
namespace {

// Sort key of a domain for one shard; the smallest one is chosen. Members are
// in order of precedence.
struct DomainRank {
  bool m_was_tried = false;
  bool m_is_avoided = false;
  bool m_is_remote = false;
  // Spreads blocks over the remote domains; 0 for the own domain.
  std::uint64_t m_remote_hash = 0;

  friend auto operator<=>(const DomainRank&, const DomainRank&) = default;
};

// Chooses owners for the parts of one query.
class OwnerChooser final {
 public:
  OwnerChooser(const FleetView& view,
               const CollectionMap& collection,
               const FailureDomain& own_domain,
               const TriedDomains& tried,
               const ReplicaSet& avoid)
      : m_collection(collection),
        m_owners(view.Owners().ForCollection(collection)),
        m_own_domain(own_domain),
        m_tried(tried),
        m_avoid(avoid) {
    for (const FailureDomain& domain : collection.Domains()) {
      m_domain_hashes.push_back(Hash64(domain.Text()));
    }
  }

  // Returns the owner for `part` of a shard, or null if no live replica has an
  // owner.
  [[nodiscard]] const Instance* ChooseOwner(std::size_t shard_position,
                                            const KeyRange& part) const {
    const Shard& shard = m_collection.Shards()[shard_position];
    const std::size_t block = m_collection.BlockOfShard(shard_position);
    const Instance* best = nullptr;
    DomainRank best_rank;
    for (const std::uint32_t replica : shard.m_replicas) {
      if (m_collection.Upstreams()[replica].m_state != UpstreamState::kLive) {
        continue;
      }
      const std::uint32_t domain = m_collection.DomainOfUpstream(replica);
      const Instance* owner = m_owners.OwnerOf(block, domain);
      if (owner == nullptr) {
        continue;
      }
      const DomainRank rank = Rank(domain, block, shard, part);
      if (best == nullptr || rank < best_rank) {
        best = owner;
        best_rank = rank;
      }
    }
    return best;
  }

 private:
  // Ranks remote domains by block instead of by shard, so that adjacent shards
  // are requested from one owner in one message.
  [[nodiscard]] DomainRank Rank(std::uint32_t domain,
                                std::size_t block,
                                const Shard& shard,
                                const KeyRange& part) const {
    const FailureDomain& name = m_collection.Domains()[domain];
    DomainRank rank;
    rank.m_was_tried = m_tried.Contains(name, part);
    rank.m_is_avoided =
        !m_avoid.empty() &&
        m_avoid.count(ReplicaKey{name, shard.m_range.m_begin}) != 0;
    rank.m_is_remote = name != m_own_domain;
    if (rank.m_is_remote) {
      rank.m_remote_hash = MixHash(block, m_domain_hashes[domain]);
    }
    return rank;
  }

  const CollectionMap& m_collection;
  const CollectionOwners m_owners;
  const FailureDomain& m_own_domain;
  const TriedDomains& m_tried;
  const ReplicaSet& m_avoid;
  std::vector<std::uint64_t> m_domain_hashes;
};

// Groups ranges by owner.
class PlanBuilder final {
 public:
  void Assign(const Instance& owner, const KeyRange& part) {
    const auto [found, is_new] =
        m_positions.emplace(&owner, m_plan.m_sub_queries.size());
    if (is_new) {
      m_plan.m_sub_queries.push_back(PlannedSubQuery{owner, {}});
    }
    m_plan.m_sub_queries[found->second].m_ranges.push_back(part);
  }

  void AddUnplaced(const KeyRange& part) {
    m_plan.m_unplaced_ranges.push_back(part);
  }

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
  const OwnerChooser chooser(view, collection, own_domain, tried, avoid);
  PlanBuilder builder;
  for (const KeyRange& range : ranges) {
    JR_CHECK(range.IsValid());
    std::size_t position = collection.ShardAt(range.m_begin);

    // Visit all shards that overlap the range
    for (; position < collection.Shards().size(); ++position) {
      const KeyRange part =
          Intersect(collection.Shards()[position].m_range, range);
      if (!part.IsValid()) {
        break;
      }
      const Instance* owner = chooser.ChooseOwner(position, part);
      if (owner == nullptr) {
        builder.AddUnplaced(part);
      } else {
        builder.Assign(*owner, part);
      }
    }
  }
  return builder.Build();
}

}  // namespace jackdawrack
