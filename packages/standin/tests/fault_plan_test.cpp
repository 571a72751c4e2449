#include "fault_plan.h"

#include <catch2/catch.hpp>

#include "standin/proxy_control_codec.h"

namespace jackdawrack {
namespace {

constexpr std::uint64_t kSeed = 409;

ProxyLink PeerOfWest() {
  ProxyLink link;
  link.m_name = "west-1";
  link.m_kind = "peer";
  link.m_domain = "west";
  return link;
}

TEST_CASE("a cut is only of the caller and the domain that the rule names") {
  FaultRule rule;
  rule.m_match = ProxyMatch{"127.0.2.1", "", "", "west"};
  FaultPlan plan(kSeed);
  plan.Replace({rule});
  ProxyLink east = PeerOfWest();
  east.m_domain = "east";
  REQUIRE(plan.Has(ProxyFault::kCut, PeerOfWest(), "127.0.2.1"));
  REQUIRE(!plan.Has(ProxyFault::kCut, PeerOfWest(), "127.0.3.1"));
  REQUIRE(!plan.Has(ProxyFault::kCut, east, "127.0.2.1"));
  REQUIRE(!plan.Has(ProxyFault::kBlackhole, PeerOfWest(), "127.0.2.1"));
}

TEST_CASE("delays are within delay and jitter, and the same for one seed") {
  FaultRule rule;
  rule.m_fault = ProxyFault::kDelay;
  rule.m_delay = Milliseconds(3);
  rule.m_jitter = Milliseconds(5);
  FaultPlan plan(kSeed);
  FaultPlan same(kSeed);
  plan.Replace({rule});
  same.Replace({rule});
  for (int i = 0; i < 100; ++i) {
    const Milliseconds delay = plan.DrawDelay(PeerOfWest(), "");
    REQUIRE(delay >= Milliseconds(3));
    REQUIRE(delay <= Milliseconds(8));
    REQUIRE(delay == same.DrawDelay(PeerOfWest(), ""));
  }
}

TEST_CASE("rules and links survive the control interface") {
  FaultRule rule;
  rule.m_match = ProxyMatch{"127.0.2.1", "u-0-0", "upstream", "east"};
  rule.m_fault = ProxyFault::kDelay;
  rule.m_delay = Milliseconds(3);
  rule.m_jitter = Milliseconds(5);
  rule.m_stalls_per_mille = 7;
  REQUIRE(DecodeRules(EncodeRules({rule})) == std::vector<FaultRule>{rule});
  ProxyLink link = PeerOfWest();
  link.m_listen = Endpoint{"127.0.0.1", 1};
  link.m_target = Endpoint{"127.0.0.1", 2};
  REQUIRE(DecodeLinks(EncodeLinks({link})) == std::vector<ProxyLink>{link});
}

}  // namespace
}  // namespace jackdawrack
