#include "model/contract.h"

#include <catch2/catch.hpp>

namespace jackdawrack {
namespace {

TEST_CASE(
    "a bad value is refused with file, section, key and what is accepted") {
  std::vector<IniProblem> problems;
  Contract::Parse("c.ini",
                  "[contract]\ncustomer=a\nversion=1\n"
                  "[limits]\ndeadline_ms=soon\nrate_per_second=5\n"
                  "concurrency=5\ncolour=red\n[query]\n"
                  "[kind look]\ncollection=c\nidempotent=yes\n",
                  problems);
  REQUIRE(problems.size() == 2);
  REQUIRE(problems[0].ToText() ==
          "c.ini [limits] deadline_ms: bad value 'soon'; accepted is a whole "
          "number from 1 to 60000");
  REQUIRE(problems[1].m_key == "colour");
}

TEST_CASE("a missing section is named") {
  std::vector<IniProblem> problems;
  Contract::Parse("c.ini", "[contract]\ncustomer=a\nversion=1\n", problems);
  REQUIRE(problems.front().ToText() == "c.ini [limits]: missing section");
}

TEST_CASE("a kind without keys or name is refused, not passed over") {
  const std::string good =
      "[contract]\ncustomer=a\nversion=1\n"
      "[limits]\ndeadline_ms=5\nrate_per_second=5\nconcurrency=5\n"
      "[kind look]\ncollection=c\nidempotent=yes\n";
  std::vector<IniProblem> problems;
  Contract::Parse("c.ini", good, problems);
  REQUIRE(problems.empty());
  Contract::Parse("c.ini", good + "[kind book]\n", problems);
  REQUIRE(JoinProblems(problems) ==
          "c.ini [kind book]: the section has no keys\n");
  problems.clear();
  Contract::Parse("c.ini", good + "[kind ]\ncollection=c\nidempotent=no\n",
                  problems);
  REQUIRE(JoinProblems(problems) ==
          "c.ini [kind]: the section needs a name after its type\n");
}

}  // namespace
}  // namespace jackdawrack
