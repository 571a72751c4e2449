#include "tool/contract_report.h"

#include <catch2/catch.hpp>

namespace jackdawrack {
namespace {

std::string Body(const std::string& instance,
                 int version,
                 const std::string& hash) {
  return R"({"instance":")" + instance +
         R"(","contracts":[{"customer":"acme","version":)" +
         std::to_string(version) + R"(,"text_hash":")" + hash + R"("}]})";
}

TEST_CASE("instances that differ in version, text or presence disagree") {
  ContractReport same;
  REQUIRE(same.Add(Body("a", 1, "x")));
  REQUIRE(same.Add(Body("b", 1, "x")));
  REQUIRE(same.Disagreements().empty());

  for (const std::string& other :
       {Body("b", 2, "x"), Body("b", 1, "y"),
        std::string(R"({"instance":"b","contracts":[]})")}) {
    INFO(other);
    ContractReport report;
    REQUIRE(report.Add(Body("a", 1, "x")));
    REQUIRE(report.Add(other));
    REQUIRE(report.Disagreements() == std::vector<Customer>{Customer("acme")});
  }
}

TEST_CASE("a reply that is no list of contracts is refused") {
  ContractReport report;
  REQUIRE_FALSE(report.Add("not json"));
  REQUIRE_FALSE(report.Add(R"({"contracts":[]})"));
}

}  // namespace
}  // namespace jackdawrack
