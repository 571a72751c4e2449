#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <functional>
#include <iostream>

#include "testing/gateway_fleet.h"
#include "testing/raw_caller.h"
#include "tool/request_lines.h"

namespace {

using jackdawrack::GatewayFleet;
using jackdawrack::Milliseconds;
using jackdawrack::RawCaller;
using jackdawrack::ReplicaMode;

/// Longer than the log's flush period.
constexpr Milliseconds kLogDelay{400};

void Print(const std::string& what,
           const std::optional<jackdawrack::HttpReply>& reply) {
  if (!reply) {
    fmt::print("{}: connection closed without an answer\n", what);
    return;
  }
  fmt::print("{}: status {}, missing parts {}, {} bytes{}\n", what,
             reply->m_status, reply->Header("X-Missing-Parts"),
             reply->m_body.size(),
             reply->Header("Retry-After").empty()
                 ? ""
                 : ", retry after " + reply->Header("Retry-After") + " s");
}

// Prints the instance's lines of a request, as `jackdawrack explain` does.
void Explain(const GatewayFleet& fleet, const std::string& request) {
  std::this_thread::sleep_for(kLogDelay);
  for (const std::string& line :
       jackdawrack::FindRequestLines({fleet.LogPath(0)}, request)) {
    fmt::print("  {}\n", line);
  }
}

void ShowAnswers(GatewayFleet& fleet) {
  RawCaller caller(fleet.CallerPort());
  Print("scattered query", caller.Call("GET", "/q/lenses", "demo-query"));
  Print("single request", caller.Call("GET", "/one/lens-1", "demo-single"));
  Print("booking", caller.Call("POST", "/book/lens-1", "demo-book", "body"));
}

void ShowPartial(GatewayFleet& fleet) {
  for (const char* domain : {"east", "west"}) {
    fleet.Replica("shard-1", domain).SetMode(ReplicaMode::kHang);
  }
  RawCaller caller(fleet.CallerPort());
  Print("query, one shard hangs", caller.Call("GET", "/q/x", "demo-partial"));
  Explain(fleet, "demo-partial");
  for (const char* domain : {"east", "west"}) {
    fleet.Replica("shard-2", domain).SetMode(ReplicaMode::kFail);
  }
  Print("query, one more fails", caller.Call("GET", "/q/x", "demo-too-few"));
  Explain(fleet, "demo-too-few");
}

void ShowRefused(GatewayFleet& fleet) {
  for (const char* domain : {"east", "west"}) {
    fleet.Replica("single", domain).SetMode(ReplicaMode::kRefuse);
  }
  RawCaller caller(fleet.CallerPort());
  Print("all upstreams refuse",
        caller.Call("POST", "/book/x", "demo-refused", "body"));
  Explain(fleet, "demo-refused");
}

void ShowLost(GatewayFleet& fleet) {
  for (const char* domain : {"east", "west"}) {
    fleet.Replica("single", domain).SetMode(ReplicaMode::kReset);
  }
  RawCaller caller(fleet.CallerPort());
  Print("the upstream resets",
        caller.Call("POST", "/book/x", "demo-lost", "body"));
  Explain(fleet, "demo-lost");
  fmt::print("metrics:\n");
  std::istringstream metrics(fleet.Metrics(0));
  for (std::string line; std::getline(metrics, line);) {
    if (line.find("_requests_total") != std::string::npos ||
        line.find("_sends_total") != std::string::npos) {
      fmt::print("  {}\n", line);
    }
  }
}

struct Scene {
  const char* m_name;
  std::function<void(GatewayFleet&)> m_show;
};

}  // namespace

int main(int argc, char** argv) {
  const std::vector<Scene> scenes = {{"answers", ShowAnswers},
                                     {"partial", ShowPartial},
                                     {"refused", ShowRefused},
                                     {"lost", ShowLost}};
  std::vector<std::string> names;
  for (const Scene& scene : scenes) {
    names.emplace_back(scene.m_name);
  }
  CLI::App app{
      "Runs one instance before stand-ins of the users' platform and shows "
      "what callers get and what the log says of it."};
  std::vector<std::string> wanted = names;
  app.add_option("scenes", wanted, "what to show; all if none is named")
      ->check(CLI::IsMember(names));
  CLI11_PARSE(app, argc, argv);

  for (const Scene& scene : scenes) {
    if (std::find(wanted.begin(), wanted.end(), scene.m_name) == wanted.end()) {
      continue;
    }
    GatewayFleet fleet({.m_name = std::string("demo-") + scene.m_name});
    fleet.Start();
    fmt::print("== {}\n", scene.m_name);
    scene.m_show(fleet);
  }
  return 0;
}
