#include "routing/gateway_file_settings.h"

#include <fmt/format.h>

#include <catch2/catch.hpp>

#include "mutation.h"

namespace jackdawrack {
namespace {

std::string MakeText(const std::string& bounds) {
  return "[gateway]\ninstance = i1\nfailure_domain = a\n"
         "[regions]\na = east\nb = east\nc = west\n"
         "[listen]\ncallers = 127.0.0.1:1\nreadiness = 127.0.0.1:2\n"
         "peers = 127.0.0.1:3\noperators = 127.0.0.1:4\n"
         "[store]\naddress = 127.0.0.1:5\n[bounds]\n" +
         bounds;
}

TEST_CASE("any settings file is refused with a problem or can be used") {
  const std::string good = MakeText(
      "repeat_ratio = 0.25\nrepeat_slack = 33.5\nrepeat_window_s = 2\n"
      "stable_ms = 421\ngrace_s = 0.75\n");
  REQUIRE(rc::check([&good] {
    std::vector<IniProblem> problems;
    const auto settings =
        GatewayFileSettings::Parse("f.ini", DrawMutation(good), problems);
    if (!problems.empty()) {
      return;
    }
    for (const Endpoint& endpoint :
         {settings.m_callers, settings.m_readiness, settings.m_peers,
          settings.m_operators, settings.m_store}) {
      RC_ASSERT(Endpoint::Parse(endpoint.ToText()) == endpoint);
    }
    RC_ASSERT(settings.m_retry_budget.m_ratio >= 0);
    RC_ASSERT(settings.m_retry_budget.m_window > Milliseconds(0));
    RC_ASSERT(settings.m_shutdown_grace_period >= Milliseconds(0));
  }));
}

TEST_CASE("every bound may be a fraction") {
  std::vector<IniProblem> problems;
  const auto settings = GatewayFileSettings::Parse(
      "f.ini",
      MakeText("repeat_ratio = 0.25\nrepeat_slack = 33.1578947368421\n"
               "repeat_window_s = 2.5\nstable_ms = 421.75\n"
               "drain_ms = 315.9\napply_ms = 210.5\ngrace_s = 0.75\n"),
      problems);
  REQUIRE(problems.empty());
  REQUIRE(settings.m_retry_budget.m_ratio == 0.25);
  REQUIRE(settings.m_retry_budget.m_slack == Approx(33.1578947368421));
  REQUIRE(settings.m_retry_budget.m_window == Milliseconds(2'500));
  REQUIRE(settings.m_max_staleness == Milliseconds(421));
  REQUIRE(settings.m_drain_bound == Milliseconds(315));
  REQUIRE(settings.m_apply_bound == Milliseconds(210));
  REQUIRE(settings.m_shutdown_grace_period == Milliseconds(750));
}

TEST_CASE("a bound that is no number in range is named with file and key") {
  const std::string keys[] = {"repeat_ratio", "repeat_slack", "repeat_window_s",
                              "stable_ms",    "drain_ms",     "apply_ms",
                              "grace_s"};
  for (const std::string& bad_key : keys) {
    for (const char* value : {"true", "-1", "nan", "1e300", "3 s"}) {
      std::string bounds;
      for (const std::string& key : keys) {
        bounds += fmt::format("{} = {}\n", key, key == bad_key ? value : "1");
      }
      std::vector<IniProblem> problems;
      (void)GatewayFileSettings::Parse("f.ini", MakeText(bounds), problems);
      INFO(bad_key << " = " << value);
      REQUIRE(problems.size() >= 1);
      REQUIRE(problems[0].ToText().find("f.ini [bounds] " + bad_key) == 0);
    }
  }
}

TEST_CASE("a failure domain without the name of its region is refused") {
  std::string text = MakeText(
      "repeat_ratio = 0.2\nrepeat_slack = 58\nrepeat_window_s = 10\n"
      "stable_ms = 5000\ngrace_s = 6\n");
  text.replace(text.find("b = east"), 8, "b =");
  std::vector<IniProblem> problems;
  (void)GatewayFileSettings::Parse("f.ini", text, problems);
  REQUIRE(problems.size() == 1);
  REQUIRE(problems[0].ToText().find("f.ini [regions] b") == 0);
}

TEST_CASE("limits on memory are checked") {
  const std::string bounds =
      "repeat_ratio = 0.2\nrepeat_slack = 58\nrepeat_window_s = 10\n"
      "stable_ms = 5000\ngrace_s = 6\n[limits]\n";
  const auto parse = [&bounds](const std::string& limits) {
    std::vector<IniProblem> problems;
    (void)GatewayFileSettings::Parse("f.ini", MakeText(bounds + limits),
                                     problems);
    return problems;
  };
  REQUIRE(parse("response_bytes = 65536\nbuffered_bytes = 65536\n").empty());
  for (const char* bad : {"response_bytes = 0", "response_bytes = much",
                          "response_bytes = 99999999",
                          "response_bytes = 2000000\nbuffered_bytes = 70000"}) {
    const auto problems = parse(std::string(bad) + "\n");
    INFO(bad);
    REQUIRE(problems.size() == 1);
    REQUIRE(problems[0].ToText().find("f.ini [limits] response_bytes") == 0);
  }
}

TEST_CASE("each failure domain may be given its region") {
  std::vector<IniProblem> problems;
  const auto settings = GatewayFileSettings::Parse(
      "f.ini",
      MakeText("repeat_ratio = 0.2\nrepeat_slack = 58\n"
               "repeat_window_s = 10\nstable_ms = 5000\ngrace_s = 6\n"),
      problems);
  REQUIRE(problems.empty());
  REQUIRE(settings.m_regions.size() == 3);
  REQUIRE(settings.m_regions.at(FailureDomain("b")) == "east");
  REQUIRE(settings.m_drain_bound == Milliseconds(3'000));
}

}  // namespace
}  // namespace jackdawrack
