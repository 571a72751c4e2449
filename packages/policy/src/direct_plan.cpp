#include "policy/direct_plan.h"

namespace jackdawrack {

QueryPlan MakeDirectPlan(QueryPlan plan, const Instance& self) {
  QueryPlan direct;
  direct.m_unplaced_ranges = std::move(plan.m_unplaced_ranges);
  PlannedSubQuery own_sub_query{self, {}};
  for (PlannedSubQuery& sub_query : plan.m_sub_queries) {
    if (sub_query.m_owner.m_domain != self.m_domain) {
      direct.m_sub_queries.push_back(std::move(sub_query));
      continue;
    }
    own_sub_query.m_ranges.insert(own_sub_query.m_ranges.end(),
                                  sub_query.m_ranges.begin(),
                                  sub_query.m_ranges.end());
  }
  if (!own_sub_query.m_ranges.empty()) {
    direct.m_sub_queries.push_back(std::move(own_sub_query));
  }
  return direct;
}

}  // namespace jackdawrack
