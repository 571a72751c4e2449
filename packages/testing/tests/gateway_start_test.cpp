#include <fcntl.h>

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

#include "testing/gateway_fleet.h"
#include "testing/raw_caller.h"

namespace jackdawrack {
namespace {

namespace asio = boost::asio;

constexpr unsigned kStatusOk = 200;
constexpr Milliseconds kTakenTime{500};
constexpr int kExitCannotStart = 1;
constexpr int kMaxStopMs = 1'500;

/// An instance that starts while something else listens where callers reach it.
class StartAtTakenAddress final {
 public:
  StartAtTakenAddress() : m_fleet({.m_name = "gw-taken"}), m_taken(m_context) {
    m_fleet.Start();
    m_fleet.Process(0).Kill();
    m_taken = asio::ip::tcp::acceptor(
        m_context, {asio::ip::address_v4::loopback(), m_fleet.CallerPort()});
    REQUIRE(fcntl(m_taken.native_handle(), F_SETFD, FD_CLOEXEC) == 0);
    m_fleet.StartInstance(0);
    std::this_thread::sleep_for(kTakenTime);
    REQUIRE_FALSE(m_fleet.Process(0).HasEnded());
  }

  GatewayFleet& Fleet() { return m_fleet; }
  void FreeAddress() { m_taken.close(); }

 private:
  GatewayFleet m_fleet;
  asio::io_context m_context;
  asio::ip::tcp::acceptor m_taken;
};

// The process ended at once with exit code 1.
TEST_CASE("an instance whose address is taken starts once it is free") {
  StartAtTakenAddress start;
  start.FreeAddress();
  REQUIRE(start.Fleet().WaitReady(0));
  RawCaller caller(start.Fleet().CallerPort());
  const auto reply = caller.Call("GET", "/one/x", "after-taken");
  REQUIRE(reply);
  REQUIRE(reply->m_status == kStatusOk);
  REQUIRE(start.Fleet().LogText(0).find("1012 AddressTaken") !=
          std::string::npos);
}

// A stop during the wait has to end the process before it would give up.
TEST_CASE("an instance that waits for its address can be stopped") {
  StartAtTakenAddress start;
  start.Fleet().Process(0).Signal(SIGTERM);
  REQUIRE(start.Fleet().Process(0).WaitExit(kMaxStopMs) == kExitCannotStart);
}

}  // namespace
}  // namespace jackdawrack
