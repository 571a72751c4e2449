#include "net/listener.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

#include "core/clock.h"
#include "core/control_signals.h"

namespace jackdawrack {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr Milliseconds kTakenTime{400};

/// A listener in the way.
class TakenAddress final {
 public:
  TakenAddress()
      : m_acceptor(m_context,
                   tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {}

  [[nodiscard]] Endpoint Where() const {
    return Endpoint{"127.0.0.1", m_acceptor.local_endpoint().port()};
  }
  void Free() { m_acceptor.close(); }

 private:
  asio::io_context m_context;
  tcp::acceptor m_acceptor;
};

// An instance that was started while the process before it still ended exited
// at once.
TEST_CASE("an address that is freed after a moment is listened on") {
  TakenAddress taken;
  const Endpoint endpoint = taken.Where();
  std::thread previous([&taken] {
    std::this_thread::sleep_for(kTakenTime);
    taken.Free();
  });
  asio::io_context context;
  tcp::acceptor acceptor(context);
  const auto opened = OpenListener(acceptor, endpoint);
  previous.join();
  REQUIRE(opened);
  REQUIRE(acceptor.is_open());
}

// A stop was only noticed once the wait had ended.
TEST_CASE("a stop ends the wait for an address") {
  const TakenAddress taken;
  asio::io_context context;
  tcp::acceptor acceptor(context);
  BlockControlSignals();
  const TimePoint began = SteadyClock().Now();
  pthread_kill(pthread_self(), SIGTERM);
  const auto opened = OpenListener(acceptor, taken.Where());
  const Duration waited = SteadyClock().Now() - began;
  const timespec no_wait{};
  sigset_t signals = ControlSignals();
  REQUIRE(sigtimedwait(&signals, nullptr, &no_wait) == SIGTERM);
  UnblockControlSignals();
  CHECK_FALSE(opened);
  CHECK_FALSE(acceptor.is_open());
  CHECK(waited < std::chrono::seconds(1));
}

}  // namespace
}  // namespace jackdawrack
