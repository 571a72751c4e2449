#include <catch2/catch.hpp>
#include <fstream>

#include "testing/gateway_fleet.h"
#include "testing/raw_caller.h"

namespace jackdawrack {
namespace {

constexpr int kToolTimeMs = 20'000;

/// What a run of the operators' command gave.
struct ToolResult {
  int m_exit_code = -1;
  std::string m_output;
};

ToolResult RunTool(const GatewayFleet& fleet,
                   std::vector<std::string> arguments) {
  const std::string log = fleet.LogPath(0) + "." + arguments.front();
  arguments.push_back("--at");
  arguments.push_back(fleet.Operators().ToText());
  ChildProcess tool(std::string(JACKDAWRACK_TOOL_PATH), std::move(arguments),
                    log);
  ToolResult result;
  result.m_exit_code = tool.WaitExit(kToolTimeMs);
  std::ifstream stream(log);
  result.m_output.assign(std::istreambuf_iterator<char>(stream), {});
  return result;
}

bool Holds(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

TEST_CASE("operators ask an instance that serves published routes") {
  GatewayFleet fleet({.m_name = "gw-operators"});
  fleet.Start();
  for (const char* domain : {"east", "west"}) {
    fleet.Replica("single", domain).SetMode(ReplicaMode::kFail);
    fleet.Replica("shard-1", domain).SetMode(ReplicaMode::kRefuse);
  }
  RawCaller caller(fleet.CallerPort());
  REQUIRE(caller.Call("POST", "/book/x", "failed-1", "body"));
  REQUIRE(caller.Call("GET", "/q/x", "partial-1"));

  SECTION("status") {
    const ToolResult status = RunTool(fleet, {"status"});
    INFO(status.m_output);
    REQUIRE(status.m_exit_code == 0);
    REQUIRE(Holds(status.m_output, "yes"));
    REQUIRE(Holds(status.m_output, "routes r1"));
  }
  SECTION("explain names the upstreams and how each send ended") {
    const ToolResult failed = RunTool(fleet, {"explain", "failed-1"});
    INFO(failed.m_output);
    REQUIRE(failed.m_exit_code == 0);
    REQUIRE(Holds(failed.m_output, "u-single-east"));
    REQUIRE(Holds(failed.m_output, "status 500"));
    const ToolResult partial = RunTool(fleet, {"explain", "partial-1"});
    INFO(partial.m_output);
    REQUIRE(Holds(partial.m_output, "shard-1: refused, status 503"));
    REQUIRE(Holds(partial.m_output, "1 ranges missing"));
    REQUIRE(RunTool(fleet, {"explain", "unknown-1"}).m_exit_code == 1);
    REQUIRE(RunTool(fleet, {"explain", "no/path"}).m_exit_code == 2);
  }
  SECTION("burn counts by route") {
    const ToolResult burn =
        RunTool(fleet, {"burn", "--interval", "0.1", "--samples", "2"});
    INFO(burn.m_output);
    REQUIRE(burn.m_exit_code == 0);
    REQUIRE(Holds(burn.m_output, "book"));
    REQUIRE(Holds(burn.m_output, "status: 500"));
  }
  SECTION("metrics name upstreams, budgets and what the process uses") {
    const std::string metrics = fleet.Metrics(0);
    INFO(metrics);
    REQUIRE(Holds(metrics,
                  "jackdawrack_upstream_exchanges_total{service=\"single\","
                  "upstream=\"u-single-east\",end=\"failed\"} 1"));
    REQUIRE(Holds(metrics, "jackdawrack_repeat_budget_left{service="));
    REQUIRE(Holds(metrics, "jackdawrack_waiting_requests{service="));
    REQUIRE(Holds(metrics, "jackdawrack_process_cpu_seconds_total"));
    REQUIRE(Holds(metrics, "jackdawrack_partial_answers_total"));
  }
}

}  // namespace
}  // namespace jackdawrack
