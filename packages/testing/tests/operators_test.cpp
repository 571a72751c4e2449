#include <catch2/catch.hpp>
#include <fstream>

#include "testing/test_fleet.h"
#include "tool/uuid.h"

namespace jackdawrack {
namespace {

/// What a run of the operators' command gave.
struct ToolResult {
  int m_exit_code = -1;
  std::string m_output;
};

ToolResult RunTool(const TestFleet& fleet, std::vector<std::string> arguments) {
  static int count = 0;
  const std::string log =
      fleet.Folder() + "/tool-" + std::to_string(++count) + ".log";
  ChildProcess tool(std::string(JACKDAWRACK_TOOL_PATH), std::move(arguments),
                    log);
  ToolResult result;
  result.m_exit_code = tool.WaitExit(20'000);
  std::ifstream stream(log);
  result.m_output.assign(std::istreambuf_iterator<char>(stream), {});
  return result;
}

std::string Operators(const TestFleet& fleet, const std::string& instance) {
  // The operators' port follows the peers' one
  Endpoint endpoint = fleet.Peers(instance);
  ++endpoint.m_port;
  return endpoint.ToText();
}

TEST_CASE("the operators' command reads a fleet and says what it could not") {
  TestFleetSettings settings;
  settings.m_name = "operators";
  TestFleet fleet(settings);
  fleet.Start();
  const std::string east = Operators(fleet, "east-1");
  const std::string south = Operators(fleet, "south-1");
  const std::string nobody = "127.0.0.1:1";

  SECTION("status shows each instance and names the one not read") {
    const ToolResult good =
        RunTool(fleet, {"status", "--at", east, "--at", south});
    INFO(good.m_output);
    REQUIRE(good.m_exit_code == 0);
    REQUIRE(good.m_output.find("east-1") != std::string::npos);
    REQUIRE(good.m_output.find("south-1") != std::string::npos);
    const ToolResult bad =
        RunTool(fleet, {"status", "--at", east, "--at", nobody});
    INFO(bad.m_output);
    REQUIRE(bad.m_exit_code == 1);
    REQUIRE(bad.m_output.find("east-1") != std::string::npos);
    REQUIRE(bad.m_output.find(nobody + ": could not be read") !=
            std::string::npos);
  }

  SECTION("contracts shows the version in force everywhere") {
    const ToolResult good =
        RunTool(fleet, {"contracts", "--at", east, "--at", south});
    INFO(good.m_output);
    REQUIRE(good.m_exit_code == 0);
    REQUIRE(good.m_output.find("acme") != std::string::npos);
    REQUIRE(RunTool(fleet, {"contracts", "--at", nobody}).m_exit_code == 1);
  }

  SECTION("explain shows the steps of a query and of no other request") {
    const auto answer = ParseJsonObject(fleet.Query("east-1", "x").m_body);
    REQUIRE(answer.has_value());
    const ToolResult found =
        RunTool(fleet, {"explain", JsonText(*answer, "request"), "--at", east});
    INFO(found.m_output);
    REQUIRE(found.m_exit_code == 0);
    for (const char* step : {"planned", "sent", "answered", "finished"}) {
      REQUIRE(found.m_output.find(step) != std::string::npos);
    }
    const std::string key = MakeUuidV7(SteadyClock().WallNowMs());
    const auto booking =
        ParseJsonObject(fleet.Book("east-1", "lens-1", key, "a").m_body);
    REQUIRE(booking.has_value());
    const ToolResult run = RunTool(
        fleet, {"explain", JsonText(*booking, "request"), "--at", east});
    INFO(run.m_output);
    REQUIRE(run.m_output.find(JsonText(*booking, "outcome")) !=
            std::string::npos);
    const ToolResult missing =
        RunTool(fleet, {"explain", "1-1", "--at", east, "--at", south});
    REQUIRE(missing.m_exit_code == 1);
  }

  SECTION("load answers and burn reports the customer") {
    const ToolResult load =
        RunTool(fleet, {"load", "--at", fleet.Callers("east-1").ToText(),
                        "--customer", "acme", "--query", "look=9", "--request",
                        "book=1", "--clients", "2", "--duration", "0.5"});
    INFO(load.m_output);
    REQUIRE(load.m_exit_code == 0);
    const std::string page = fleet.Folder() + "/burn.html";
    const ToolResult burn =
        RunTool(fleet, {"burn", "--at", east, "--at", nobody, "--interval",
                        "0.1", "--samples", "2", "--html", page});
    INFO(burn.m_output);
    REQUIRE(burn.m_exit_code == 1);
    REQUIRE(burn.m_output.find("acme") != std::string::npos);
    REQUIRE(burn.m_output.find("NOT READ: " + nobody) != std::string::npos);
    REQUIRE(std::ifstream(page).good());
  }

  SECTION("check and bad use have their own exit codes") {
    const std::string good_file = fleet.Folder() + "/east-1.ini";
    REQUIRE(RunTool(fleet, {"check", good_file}).m_exit_code == 0);
    const std::string bad_file = fleet.Folder() + "/bad.ini";
    std::ofstream(bad_file) << "[listen]\nspeed = 1\n";
    const ToolResult bad = RunTool(fleet, {"check", bad_file});
    INFO(bad.m_output);
    REQUIRE(bad.m_exit_code == 1);
    REQUIRE(bad.m_output.find("speed") != std::string::npos);
    REQUIRE(RunTool(fleet, {}).m_exit_code == 2);
    REQUIRE(RunTool(fleet, {"status", "--at", "here"}).m_exit_code == 2);
    REQUIRE(RunTool(fleet, {"--help"}).m_exit_code == 0);
  }
}

}  // namespace
}  // namespace jackdawrack
