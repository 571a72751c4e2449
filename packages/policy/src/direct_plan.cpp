#include "policy/direct_plan.h"

namespace jackdawrack {

QueryPlan MakeDirectPlan(QueryPlan plan, const Instance& self) {
  QueryPlan direct;
  direct.m_unplaced = std::move(plan.m_unplaced);
  OwnerShare own{self, {}};
  for (OwnerShare& share : plan.m_shares) {
    if (share.m_owner.m_domain != self.m_domain) {
      direct.m_shares.push_back(std::move(share));
      continue;
    }
    own.m_ranges.insert(own.m_ranges.end(), share.m_ranges.begin(),
                        share.m_ranges.end());
  }
  if (!own.m_ranges.empty()) {
    direct.m_shares.push_back(std::move(own));
  }
  return direct;
}

}  // namespace jackdawrack
