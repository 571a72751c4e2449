#include "core/crash_log.h"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <functional>
#include <stdexcept>
#include <string>
#include <thread>

#include "core/check.h"
#include "core/event.h"

namespace jackdawrack {
namespace {

struct EndedProcess {
  int m_signal = 0;
  std::string m_output;
};

// Runs `body` in a process of its own that buffers its events.
EndedProcess RunInProcess(const std::function<void()>& body) {
  std::array<int, 2> output{};
  REQUIRE(pipe2(output.data(), O_CLOEXEC) == 0);
  const pid_t pid = fork();
  REQUIRE(pid >= 0);
  if (pid == 0) {
    dup2(output[1], STDOUT_FILENO);
    InstallCrashLog();
    ConfigureEventOutput({.m_is_buffered = true});
    LogEvent(EventId::kRequestFailed, "request=last");
    body();
    _exit(0);
  }
  close(output[1]);
  EndedProcess ended;
  std::array<char, 4'096> piece{};
  for (ssize_t size = 0;
       (size = read(output[0], piece.data(), piece.size())) > 0;) {
    ended.m_output.append(piece.data(), static_cast<std::size_t>(size));
  }
  close(output[0]);
  int status = 0;
  REQUIRE(waitpid(pid, &status, 0) == pid);
  ended.m_signal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
  return ended;
}

bool Contains(const EndedProcess& ended, const std::string& text) {
  return ended.m_output.find(text) != std::string::npos;
}

// Event 9001 waited in a buffer that was lost with the process.
TEST_CASE("a broken invariant is logged before the process ends") {
  const auto ended = RunInProcess([] { JR_CHECK(1 > 2); });
  REQUIRE(ended.m_signal == SIGABRT);
  REQUIRE(Contains(ended, "4006 RequestFailed request=last\n"));
  REQUIRE(Contains(ended, "9001 InvariantBroken condition=1 > 2 "));
  REQUIRE(Contains(ended, "9004 ProcessCrashed signal=6 "));
}

// Lines of requests filled the buffer, and the one of the error was dropped.
TEST_CASE("a broken invariant is logged with a full buffer") {
  const auto ended = RunInProcess([] {
    ConfigureEventOutput({.m_is_buffered = true, .m_max_waiting_bytes = 100});
    for (int line = 0; line < 10; ++line) {
      LogEvent(EventId::kRequestFailed, "request={}", line);
    }
    JR_CHECK(1 > 2);
  });
  REQUIRE(ended.m_signal == SIGABRT);
  REQUIRE(Contains(ended, "9001 InvariantBroken condition=1 > 2 "));
}

// Its text was written to standard error only, without time and instance.
TEST_CASE("an exception that nothing handles is logged") {
  const auto ended = RunInProcess([] {
    std::thread([] { throw std::runtime_error("invalid argument"); }).join();
  });
  REQUIRE(ended.m_signal == SIGABRT);
  REQUIRE(Contains(ended, "4006 RequestFailed request=last\n"));
  REQUIRE(
      Contains(ended, "9003 UncaughtException reason=\"invalid argument\"\n"));
  REQUIRE(Contains(ended, "9004 ProcessCrashed signal=6 "));
}

TEST_CASE("a fatal signal is logged and still ends the process") {
  for (const int signal : {SIGSEGV, SIGBUS, SIGFPE, SIGILL}) {
    const auto ended = RunInProcess([signal] { raise(signal); });
    REQUIRE(ended.m_signal == signal);
    REQUIRE(Contains(ended, "4006 RequestFailed request=last\n"));
    REQUIRE(Contains(ended, "9004 ProcessCrashed signal=" +
                                std::to_string(signal) + " frames=\" 0x"));
  }
}

}  // namespace
}  // namespace jackdawrack
