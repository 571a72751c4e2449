#include "policy/config_store.h"

#include <fmt/format.h>

#include <catch2/catch.hpp>

namespace jackdawrack {
namespace {

PublishedValue ContractValue(std::uint64_t version, std::uint64_t deadline_ms) {
  return PublishedValue{
      "contracts/a", version,
      fmt::format("[contract]\ncustomer=a\nversion={}\n"
                  "[limits]\ndeadline_ms={}\nrate_per_second=5\n"
                  "concurrency=5\n[kind k]\ncollection=c\nidempotent=yes\n",
                  version, deadline_ms)};
}

std::uint32_t DeadlineIn(const ConfigStore& store) {
  return store.State().FindContract(Customer("a"))->DeadlineMs();
}

TEST_CASE("an older contract never replaces a newer one") {
  ConfigStore store;
  std::vector<IniProblem> problems;
  REQUIRE(store.Merge(ContractValue(2, 200), problems) ==
          ConfigMergeResult::kApplied);
  REQUIRE(store.Merge(ContractValue(1, 100), problems) ==
          ConfigMergeResult::kIgnored);
  REQUIRE(DeadlineIn(store) == 200);
}

TEST_CASE("two texts of one version converge in either order of arrival") {
  std::vector<IniProblem> problems;
  ConfigStore one;
  one.Merge(ContractValue(2, 200), problems);
  one.Merge(ContractValue(2, 300), problems);
  ConfigStore other;
  other.Merge(ContractValue(2, 300), problems);
  other.Merge(ContractValue(2, 200), problems);
  REQUIRE(DeadlineIn(one) == DeadlineIn(other));
  REQUIRE(one.HasConflict("contracts/a"));
  REQUIRE(other.HasConflict("contracts/a"));
}

TEST_CASE("an invalid contract leaves the last valid one in force") {
  ConfigStore store;
  std::vector<IniProblem> problems;
  store.Merge(ContractValue(1, 100), problems);
  REQUIRE(store.Merge(ContractValue(2, 0), problems) ==
          ConfigMergeResult::kRefused);
  REQUIRE(DeadlineIn(store) == 100);
  REQUIRE(problems.size() == 1);
}

}  // namespace
}  // namespace jackdawrack
