#include "exchange/peer_exchange.h"

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <stdexcept>

namespace jackdawrack {
namespace {

namespace asio = boost::asio;

constexpr Milliseconds kRunTime{500};

Endpoint FreeEndpoint() {
  asio::io_context context;
  const asio::ip::tcp::acceptor acceptor(context,
                                         {asio::ip::address_v4::loopback(), 0});
  return Endpoint{"127.0.0.1", acceptor.local_endpoint().port()};
}

// The next exchange was not scheduled: the others took the instance for gone.
TEST_CASE("exchanges go on after one that an exception ended") {
  asio::io_context context;
  PeerExchangeSettings settings;
  settings.m_self.m_id = InstanceId("a");
  settings.m_self.m_endpoint = FreeEndpoint();
  settings.m_seeds = {FreeEndpoint()};
  settings.m_urgent_period = Milliseconds(20);
  int messages = 0;
  PeerExchangeCallbacks callbacks;
  callbacks.m_needs_snapshot = [] { return true; };
  callbacks.m_revision = [&messages]() -> std::uint64_t {
    if (++messages == 2) {
      throw std::runtime_error("revision");
    }
    return 0;
  };
  PeerExchange exchange(context, settings, callbacks);
  REQUIRE(exchange.Start());
  try {
    context.run_for(kRunTime);
  } catch (const std::runtime_error&) {
    // Logged by `RunContext` in the daemon
    context.run_for(kRunTime);
  }
  REQUIRE(messages > 3);
}

}  // namespace
}  // namespace jackdawrack
