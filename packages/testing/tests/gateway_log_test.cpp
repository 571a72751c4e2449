#include <fcntl.h>
#include <fmt/format.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>

#include "testing/gateway_fleet.h"
#include "testing/raw_caller.h"

namespace jackdawrack {
namespace {

constexpr int kPipeBytes = 4'096;
constexpr Milliseconds kStuckTime{10'000};
constexpr Milliseconds kPause{5};

/// A request takes 3 ms at the stand-in; a blocked write would take seconds.
constexpr Milliseconds kGreatestP99{50};

Milliseconds P99(std::vector<Milliseconds> times) {
  std::sort(times.begin(), times.end());
  return times[times.size() * 99 / 100];
}

// Milliseconds of each of the requests sent in `length`.
std::vector<Milliseconds> CallFor(GatewayFleet& fleet, Milliseconds length) {
  RawCaller caller(fleet.CallerPort());
  std::vector<Milliseconds> times;
  const TimePoint until = SteadyClock().Now() + length;
  while (SteadyClock().Now() < until) {
    const TimePoint began = SteadyClock().Now();
    const auto reply = caller.Call("POST", "/book/x",
                                   fmt::format("log-{}", times.size()), "body");
    REQUIRE(reply);
    REQUIRE(reply->m_status == 500);
    times.push_back(
        std::chrono::duration_cast<Milliseconds>(SteadyClock().Now() - began));
    std::this_thread::sleep_for(kPause);
  }
  return times;
}

TEST_CASE("requests go on while nobody reads the log") {
  GatewayFleet fleet({.m_name = "gw-stuck-log"});
  REQUIRE(mkfifo(fleet.LogPath(0).c_str(), 0600) == 0);
  const int reader = open(fleet.LogPath(0).c_str(), O_RDWR | O_NONBLOCK);
  REQUIRE(reader >= 0);
  REQUIRE(fcntl(reader, F_SETPIPE_SZ, kPipeBytes) >= 0);
  fleet.Start();
  for (const char* domain : {"east", "west"}) {
    fleet.Replica("single", domain).SetMode(ReplicaMode::kFail);
  }

  // Every request fails, so that each has lines to write
  const auto times = CallFor(fleet, kStuckTime);
  REQUIRE(times.size() > 500);
  REQUIRE(P99(times) < kGreatestP99);
  REQUIRE(fleet.Metrics(0).find("jackdawrack_log_lines_dropped") !=
          std::string::npos);

  // Once read again, the log goes on and says how much is missing
  std::string text;
  std::vector<char> piece(kPipeBytes);
  for (int turn = 0; turn < 400; ++turn) {
    const auto size = read(reader, piece.data(), piece.size());
    if (size > 0) {
      text.append(piece.data(), static_cast<std::size_t>(size));
    } else {
      std::this_thread::sleep_for(Milliseconds(10));
    }
  }
  REQUIRE(text.find("1001 ProcessStarted") != std::string::npos);
  REQUIRE(text.find("1009 EventsDropped lines=") != std::string::npos);
  close(reader);
}

// A log collector that restarted ended every instance that it read.
TEST_CASE("an instance outlives the reader of its log") {
  GatewayFleet fleet({.m_name = "gw-lost-reader"});
  REQUIRE(mkfifo(fleet.LogPath(0).c_str(), 0600) == 0);
  int reader =
      open(fleet.LogPath(0).c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC);
  REQUIRE(reader >= 0);
  fleet.Start();
  close(reader);
  for (const char* domain : {"east", "west"}) {
    fleet.Replica("single", domain).SetMode(ReplicaMode::kFail);
  }
  REQUIRE_FALSE(CallFor(fleet, Milliseconds(1'000)).empty());
  REQUIRE_FALSE(fleet.Process(0).HasEnded());

  // The next reader gets the lines that came since
  reader = open(fleet.LogPath(0).c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC);
  REQUIRE(reader >= 0);
  std::this_thread::sleep_for(Milliseconds(500));
  std::vector<char> text(kPipeBytes);
  REQUIRE(read(reader, text.data(), text.size()) > 0);
  close(reader);
}

// The lines that waited to be written were lost with the process.
TEST_CASE("an instance that aborts logs its last requests and the signal") {
  GatewayFleet fleet({.m_name = "gw-abort-log"});
  fleet.Start();
  for (const char* domain : {"east", "west"}) {
    fleet.Replica("single", domain).SetMode(ReplicaMode::kFail);
  }
  RawCaller caller(fleet.CallerPort());
  REQUIRE(caller.Call("POST", "/book/x", "last-request", "body"));
  fleet.Process(0).Signal(SIGABRT);
  REQUIRE(fleet.Process(0).WaitExit(5'000) == -1);
  REQUIRE(fleet.Process(0).EndStatus() == -SIGABRT);
  const std::string log = fleet.LogText(0);
  REQUIRE(log.find("4006 RequestFailed request=last-request ") !=
          std::string::npos);
  REQUIRE(log.find("9004 ProcessCrashed signal=6 frames=\" 0x") !=
          std::string::npos);
}

}  // namespace
}  // namespace jackdawrack
