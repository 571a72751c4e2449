#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>

#include "core/event.h"

namespace jackdawrack {
namespace {

// Sends standard output into a pipe while it lives.
class CapturedOutput final {
 public:
  CapturedOutput() {
    REQUIRE(pipe2(m_pipe.data(), O_NONBLOCK) == 0);
    m_kept = dup(STDOUT_FILENO);
    dup2(m_pipe[1], STDOUT_FILENO);
  }

  ~CapturedOutput() {
    dup2(m_kept, STDOUT_FILENO);
    close(m_kept);
    close(m_pipe[0]);
    close(m_pipe[1]);
    ConfigureEventOutput({});
  }

  std::string Read() const {
    std::string text;
    std::array<char, 4096> piece{};
    while (true) {
      const auto size = read(m_pipe[0], piece.data(), piece.size());
      if (size <= 0) {
        return text;
      }
      text.append(piece.data(), static_cast<std::size_t>(size));
    }
  }

 private:
  std::array<int, 2> m_pipe{};
  int m_kept = -1;
};

std::size_t CountLines(const std::string& text) {
  return static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
}

TEST_CASE("buffered lines wait for a flush") {
  const CapturedOutput output;
  ConfigureEventOutput({.m_is_buffered = true});
  LogEvent(EventId::kProcessStarted, "instance={}", "a");
  REQUIRE(output.Read().empty());
  FlushEvents();
  const std::string text = output.Read();
  REQUIRE(text.find(" info 1001 ProcessStarted instance=a\n") !=
          std::string::npos);
  REQUIRE(text.find('.') < text.find('Z'));
}

TEST_CASE("lines of one event beyond its rate are counted, others go on") {
  const CapturedOutput output;
  ConfigureEventOutput({.m_is_buffered = true, .m_max_lines_per_second = 10});
  const std::uint64_t before = DroppedEvents();
  for (int line = 0; line < 100; ++line) {
    LogEvent(EventId::kRequestFailed, "n={}", line);
  }
  LogEvent(EventId::kStoreLost, "reason=x");
  FlushEvents();
  const std::string text = output.Read();
  REQUIRE(DroppedEvents() - before >= 70);
  REQUIRE(text.find("2015 StoreLost") != std::string::npos);
  REQUIRE(text.find("1009 EventsDropped lines=") != std::string::npos);
  REQUIRE(CountLines(text) <= 32);
}

TEST_CASE("memory for lines that nobody reads is bounded") {
  const CapturedOutput output;
  ConfigureEventOutput({.m_is_buffered = true,
                        .m_max_waiting_bytes = 1'000,
                        .m_max_lines_per_second = 100'000});
  const std::uint64_t before = DroppedEvents();
  for (int line = 0; line < 1'000; ++line) {
    LogEvent(EventId::kRequestFailed, "n={}", line);
  }
  FlushEvents();
  REQUIRE(DroppedEvents() > before);
  REQUIRE(output.Read().size() < 2'000);
}

}  // namespace
}  // namespace jackdawrack
