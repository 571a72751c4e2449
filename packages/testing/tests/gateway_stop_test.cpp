#include <fmt/format.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>

#include "testing/gateway_fleet.h"
#include "testing/raw_caller.h"

namespace jackdawrack {
namespace {

/// How far a request has come when the planned stop begins.
enum class Progress {
  /// Its connection waits to be accepted.
  kConnecting,
  kHalfHeader,
  kHalfBody,
  /// It is read whole at that moment.
  kJustSent,
  /// An upstream works on it.
  kAtUpstream,
  /// The connection has served another request and is used again.
  kReused,
};

/// One caller on a thread of its own, which sends its request in two halves
/// around the stop.
struct StopCaller {
  std::string m_id;
  Progress m_progress = Progress::kConnecting;
  /// Time from the stop to the rest of the request.
  Milliseconds m_offset{0};
  std::optional<HttpReply> m_reply;
  std::thread m_thread;
};

void RunCaller(StopCaller& caller, std::uint16_t port, TimePoint stop_at) {
  const std::string request =
      RawCaller::MakeRequest("POST", "/book/x", caller.m_id, "lens", 3'000);
  std::size_t first_part = 0;
  switch (caller.m_progress) {
    case Progress::kHalfHeader:
      first_part = 30;
      break;
    case Progress::kHalfBody:
      first_part = request.size() - 2;
      break;
    default:
      break;
  }
  std::optional<RawCaller> connection;
  if (caller.m_progress != Progress::kConnecting) {
    connection.emplace(port);
  }
  if (caller.m_progress == Progress::kReused) {
    (void)connection->Call("GET", "/one/x", caller.m_id + "-before");
  }
  if (first_part > 0) {
    connection->Send(request.substr(0, first_part));
  }
  std::this_thread::sleep_until(stop_at + caller.m_offset);
  if (!connection) {
    connection.emplace(port);
  }
  connection->Send(request.substr(first_part));
  caller.m_reply = connection->Read();
}

/// A request whose body arrives in two halves, the second one after a delay.
struct LateRequest {
  std::string m_target;
  Milliseconds m_delay{0};
  std::optional<HttpReply> m_reply;
  std::thread m_thread;

  [[nodiscard]] std::string Id() const {
    return fmt::format("{}-{}", m_target.substr(1, 3), m_delay.count());
  }
};

// True once the process has ended; does not reap it.
bool HasEnded(const ChildProcess& process) {
  siginfo_t info{};
  return waitid(P_PID, static_cast<id_t>(process.Pid()), &info,
                WEXITED | WNOHANG | WNOWAIT) == 0 &&
         info.si_pid != 0;
}

// Connections of callers in every state in which a stop can meet them.
std::vector<std::unique_ptr<RawCaller>> OpenInEveryState(std::uint16_t port) {
  std::vector<std::unique_ptr<RawCaller>> callers;
  const auto open = [&callers, port](const std::string& bytes) {
    callers.push_back(std::make_unique<RawCaller>(port));
    callers.back()->Send(bytes);
  };
  for (int number = 0; number < 8; ++number) {
    const std::string request =
        RawCaller::MakeRequest("POST", number % 2 == 0 ? "/book/x" : "/q/x",
                               fmt::format("open{}", number), "lens", 18'000);
    open("");
    open(request.substr(0, 30));
    open(request.substr(0, request.size() - 2));
    open(request);
    callers.push_back(std::make_unique<RawCaller>(port));
    (void)callers.back()->Call("GET", "/nowhere",
                               fmt::format("done{}", number));
  }
  return callers;
}

// Such requests were passed on and cut off at the end of the grace period, also
// those that may be executed only once.
TEST_CASE(
    "requests that come late in the grace period are answered or refused") {
  GatewayFleet fleet({.m_name = "gw-stop-late", .m_replica_domains = {"east"}});
  fleet.Start();
  fleet.Replica("single", "east").SetServiceTime(Milliseconds(1'200));
  std::vector<std::unique_ptr<LateRequest>> requests;
  for (const char* target : {"/one/x", "/book/x"}) {
    for (const int delay_ms :
         {2'500, 3'000, 4'000, 4'600, 5'000, 5'300, 5'480}) {
      auto request = std::make_unique<LateRequest>();
      request->m_target = target;
      request->m_delay = Milliseconds(delay_ms);
      requests.push_back(std::move(request));
    }
  }
  const TimePoint stop_at = SteadyClock().Now() + Milliseconds(300);
  for (const auto& request : requests) {
    request->m_thread = std::thread([&fleet, request = request.get(), stop_at] {
      const std::string bytes = RawCaller::MakeRequest(
          "POST", request->m_target, request->Id(), "lens", 3'000);
      RawCaller caller(fleet.CallerPort());
      caller.Send(bytes.substr(0, bytes.size() - 2));
      std::this_thread::sleep_until(stop_at + request->m_delay);
      caller.Send(bytes.substr(bytes.size() - 2));
      request->m_reply = caller.Read();
    });
  }
  std::this_thread::sleep_until(stop_at);
  fleet.Process(0).Signal(SIGTERM);
  for (const auto& request : requests) {
    request->m_thread.join();
  }
  for (const auto& request : requests) {
    INFO(request->Id());
    REQUIRE(request->m_reply.has_value());
    const unsigned status = request->m_reply->m_status;
    const std::size_t runs = fleet.RunsOf(request->Id());
    REQUIRE((status == 200 || status == 502 || status == 503));
    REQUIRE(runs == (status == 503 ? 0 : 1));
    if (request->m_target == "/book/x") {
      REQUIRE(status != 502);
    }
  }
  REQUIRE(fleet.Process(0).WaitExit(6'000) == 0);
}

TEST_CASE("no request is left without an answer at the end of a grace period") {
  // Some run at the upstream, the others wait for a connection
  GatewayFleet fleet({.m_name = "gw-stop-end",
                      .m_replica_domains = {"east"},
                      .m_timeout_ms = 20'000});
  fleet.Start();
  fleet.Replica("single", "east").SetMode(ReplicaMode::kHang);
  fleet.Replica("shard-0", "east").SetMode(ReplicaMode::kHang);
  fleet.Replica("shard-1", "east").SetMode(ReplicaMode::kHang);
  std::vector<std::pair<std::string, std::unique_ptr<RawCaller>>> callers;
  for (const char* target : {"/one/x", "/q/x"}) {
    for (int number = 0; number < 12; ++number) {
      const std::string id = fmt::format("{}{}", target + 1, number);
      callers.emplace_back(id, std::make_unique<RawCaller>(fleet.CallerPort()));
      callers.back().second->Send(
          RawCaller::MakeRequest("GET", target, id, "", 18'000));
    }
  }
  std::this_thread::sleep_for(Milliseconds(100));
  fleet.Process(0).Signal(SIGTERM);
  std::size_t executed = 0;
  for (const auto& [id, caller] : callers) {
    const auto reply = caller->Read();
    INFO(id << " " << caller->LastProblem());
    REQUIRE(reply.has_value());
    REQUIRE((reply->m_status == 502 || reply->m_status == 503));
    if (reply->m_status == 503) {
      REQUIRE(fleet.RunsOf(id) == 0);
    } else {
      ++executed;
    }
  }
  REQUIRE(executed > 0);
  REQUIRE(fleet.Process(0).WaitExit(6'000) == 0);
}

// A signal before its handler was installed killed the process.
TEST_CASE("a stop that is asked for during the start is a planned stop") {
  GatewayFleet fleet({.m_name = "gw-stop-early"});
  fleet.Start();
  fleet.Process(0).Kill();
  std::ifstream file(fleet.SettingsPath(0));
  const std::string settings(std::istreambuf_iterator<char>(file), {});

  // The process waits for its settings when the signal arrives
  std::signal(SIGPIPE, SIG_IGN);
  const std::string path = fleet.SettingsPath(0);
  REQUIRE(std::filesystem::remove(path));
  REQUIRE(mkfifo(path.c_str(), 0600) == 0);
  fleet.StartInstance(0);
  std::ofstream pipe(path);
  fleet.Process(0).Signal(SIGTERM);
  std::this_thread::sleep_for(Milliseconds(100));
  pipe << settings;
  pipe.close();
  REQUIRE(fleet.Process(0).WaitExit(6'000) == 0);
}

// A signal after the handlers were removed killed the process, and what objects
// leave behind in the event loop is destroyed only then.
TEST_CASE("a stop with anything open and repeated signals is a planned stop") {
  const auto mode = GENERATE(ReplicaMode::kAnswer, ReplicaMode::kHang);
  GatewayFleet fleet(
      {.m_name = "gw-stop-open",
       .m_instance_domains = {"east", "east", "east", "east", "east", "east"},
       .m_replica_domains = {"east"},
       .m_timeout_ms = 20'000});
  fleet.Start();
  for (const char* service : {"single", "shard-0", "shard-1"}) {
    fleet.Replica(service, "east").SetMode(mode);
  }
  const auto callers = OpenInEveryState(fleet.CallerPort());
  const std::vector<std::size_t> stopped{0, 1, 2, 3, 4, 5};
  const auto has_ended = [&fleet](std::size_t instance) {
    return HasEnded(fleet.Process(instance));
  };
  const TimePoint give_up = SteadyClock().Now() + Milliseconds(8'000);
  while (!std::all_of(stopped.begin(), stopped.end(), has_ended) &&
         SteadyClock().Now() < give_up) {
    for (const std::size_t instance : stopped) {
      fleet.Process(instance).Signal(SIGTERM);
      fleet.Process(instance).Signal(SIGHUP);
    }
    std::this_thread::sleep_for(std::chrono::microseconds(500));
  }
  for (const std::size_t instance : stopped) {
    INFO("instance " << instance);
    REQUIRE(fleet.Process(instance).WaitExit(1'000) == 0);
  }
}

TEST_CASE("a planned stop under load answers every request that it has read") {
  GatewayFleet fleet({.m_name = "gw-stop-points",
                      .m_instance_domains = {"east", "west"},
                      .m_replica_domains = {"east"}});
  fleet.Start();
  fleet.Replica("single", "east").SetServiceTime(Milliseconds(120));
  const TimePoint stop_at = SteadyClock().Now() + Milliseconds(600);
  std::vector<std::unique_ptr<StopCaller>> callers;
  const Progress points[] = {Progress::kConnecting, Progress::kHalfHeader,
                             Progress::kHalfBody,   Progress::kJustSent,
                             Progress::kAtUpstream, Progress::kReused};
  for (const Progress progress : points) {
    for (const int offset_ms : {-100, -2, 0, 2, 50, 400, 1'500}) {
      auto caller = std::make_unique<StopCaller>();
      caller->m_id =
          fmt::format("s{}-{}", static_cast<int>(progress), offset_ms);
      caller->m_progress = progress;
      caller->m_offset = Milliseconds(offset_ms);
      // A header has to be complete within a second
      if (progress == Progress::kHalfHeader && offset_ms > 300) {
        continue;
      }
      callers.push_back(std::move(caller));
    }
  }
  for (const auto& caller : callers) {
    caller->m_thread = std::thread([&fleet, caller = caller.get(), stop_at] {
      RunCaller(*caller, fleet.CallerPort(), stop_at);
    });
  }
  std::this_thread::sleep_until(stop_at);
  fleet.Process(0).Signal(SIGTERM);
  for (const auto& caller : callers) {
    caller->m_thread.join();
  }
  for (const auto& caller : callers) {
    INFO(caller->m_id);
    // An idle connection may end while a request crosses its end; such a
    // request was not read and has not run
    if (!caller->m_reply) {
      REQUIRE(caller->m_progress == Progress::kReused);
      REQUIRE(fleet.RunsOf(caller->m_id) == 0);
      continue;
    }
    REQUIRE(
        (caller->m_reply->m_status == 200 || caller->m_reply->m_status == 503));
    REQUIRE(fleet.RunsOf(caller->m_id) ==
            (caller->m_reply->m_status == 200 ? 1 : 0));
  }
  REQUIRE(fleet.Process(0).WaitExit(6'000) == 0);
}

}  // namespace
}  // namespace jackdawrack
