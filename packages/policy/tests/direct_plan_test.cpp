#include "policy/direct_plan.h"

#include <catch2/catch.hpp>

namespace jackdawrack {
namespace {

Instance MakeInstance(const std::string& id, const std::string& domain) {
  Instance instance;
  instance.m_id = InstanceId(id);
  instance.m_domain = FailureDomain(domain);
  return instance;
}

TEST_CASE("a direct plan assigns only the own domain to self") {
  const Instance self = MakeInstance("east-1", "east");
  const Instance neighbour = MakeInstance("east-2", "east");
  const Instance remote = MakeInstance("west-1", "west");
  QueryPlan plan;
  plan.m_sub_queries = {
      {neighbour, {{0, 10}}}, {remote, {{10, 20}}}, {self, {{20, 30}}}};
  plan.m_unplaced_ranges = {{30, 40}};
  const QueryPlan direct = MakeDirectPlan(plan, self);
  REQUIRE(direct.m_unplaced_ranges == plan.m_unplaced_ranges);
  REQUIRE(direct.m_sub_queries ==
          std::vector<PlannedSubQuery>{{remote, {{10, 20}}},
                                       {self, {{0, 10}, {20, 30}}}});
}

}  // namespace
}  // namespace jackdawrack
