#include "model/instance_settings.h"

#include <catch2/catch.hpp>

namespace jackdawrack {
namespace {

std::string WithListen(const std::string& line) {
  return "[instance]\nid = a\nfailure_domain = east\n"
         "[listen]\ncallers = 127.0.0.1:1\npeers = 127.0.0.1:2\n"
         "operators = 127.0.0.1:3\n" +
         line + "[platform]\naddresses = 127.0.0.1:4\n";
}

TEST_CASE("the outbound address is optional and has to be an IP address") {
  std::vector<IniProblem> problems;
  REQUIRE(InstanceSettings::Parse("i.ini", WithListen(""), problems)
              .m_outbound_address.empty());
  REQUIRE(InstanceSettings::Parse(
              "i.ini", WithListen("outbound_address = 127.0.2.1\n"), problems)
              .m_outbound_address == "127.0.2.1");
  REQUIRE(problems.empty());
  (void)InstanceSettings::Parse(
      "i.ini", WithListen("outbound_address = east.example\n"), problems);
  REQUIRE(JoinProblems(problems) ==
          "i.ini [listen] outbound_address: accepted is an IP address\n");
}

}  // namespace
}  // namespace jackdawrack
