#include "net/http_client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <list>

#include "failing_allocations.h"

namespace jackdawrack {
namespace {

namespace asio = boost::asio;

constexpr Milliseconds kTimeout{200};
constexpr Milliseconds kRunTime{300};

/// A server that answers the first request of each connection with given bytes,
/// and a client.
class AnsweredClient final {
 public:
  explicit AnsweredClient(std::string bytes)
      : m_bytes(std::move(bytes)),
        m_acceptor(m_context, {asio::ip::address_v4::loopback(), 0}),
        m_client(m_context, MakeSettings()) {
    Accept();
  }

  // Sends a request and returns the results that it had within a time.
  std::vector<bool> Send(const HttpRequest& request) {
    std::vector<bool> results;
    m_client.Send(request, kTimeout, [&](const NetResult<HttpReply>& reply) {
      results.push_back(static_cast<bool>(reply));
    });
    const TimePoint end = SteadyClock().Now() + kRunTime;
    m_context.restart();
    while (SteadyClock().Now() < end) {
      try {
        m_context.run_until(end);
      } catch (const std::bad_alloc&) {
        // Logged by `RunContext` in the daemon
        continue;
      }
    }
    return results;
  }

 private:
  HttpClientSettings MakeSettings() {
    HttpClientSettings settings;
    settings.m_endpoint =
        Endpoint{"127.0.0.1", m_acceptor.local_endpoint().port()};
    return settings;
  }

  void Accept() {
    m_acceptor.async_accept([this](auto error, asio::ip::tcp::socket socket) {
      if (!error) {
        m_sockets.push_back(std::move(socket));
        asio::async_write(m_sockets.back(), asio::buffer(m_bytes),
                          [](auto, std::size_t) {});
        Accept();
      }
    });
  }

  const std::string m_bytes;
  asio::io_context m_context;
  asio::ip::tcp::acceptor m_acceptor;
  std::list<asio::ip::tcp::socket> m_sockets;
  HttpClient m_client;
};

// The handler was not called, and the next request ended the process by a
// check.
TEST_CASE("a request that cannot be encoded fails and the next is sent") {
  AnsweredClient client("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  HttpRequest too_long;
  too_long.m_headers = {{"X-Long", std::string(70'000, 'x')}};
  CHECK(client.Send(too_long) == std::vector{false});
  CHECK(client.Send(HttpRequest{}) == std::vector{true});
}

// The handler was not called: the store or a peer was not asked again.
TEST_CASE("a reply that finds no memory fails and the next request is sent") {
  AnsweredClient client("HTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\n" +
                        std::string(1 << 20, 'x'));
  t_max_allocation = 1 << 19;
  CHECK(client.Send(HttpRequest{}) == std::vector{false});
  t_max_allocation = SIZE_MAX;
  CHECK(client.Send(HttpRequest{}) == std::vector{true});
}

}  // namespace
}  // namespace jackdawrack
