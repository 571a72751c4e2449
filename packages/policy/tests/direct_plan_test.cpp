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
  plan.m_shares = {
      {neighbour, {{0, 10}}}, {remote, {{10, 20}}}, {self, {{20, 30}}}};
  plan.m_unplaced = {{30, 40}};
  const QueryPlan direct = MakeDirectPlan(plan, self);
  REQUIRE(direct.m_unplaced == plan.m_unplaced);
  REQUIRE(direct.m_shares ==
          std::vector<OwnerShare>{{remote, {{10, 20}}},
                                  {self, {{0, 10}, {20, 30}}}});
}

}  // namespace
}  // namespace jackdawrack
