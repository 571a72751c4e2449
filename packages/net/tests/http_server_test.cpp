#include "net/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <stdexcept>

#include "net/http_client.h"

namespace jackdawrack {
namespace {

namespace asio = boost::asio;

constexpr Milliseconds kRunTime{300};
constexpr Milliseconds kReplyTimeout{200};

Endpoint FreeEndpoint() {
  asio::io_context context;
  const asio::ip::tcp::acceptor acceptor(context,
                                         {asio::ip::address_v4::loopback(), 0});
  return Endpoint{"127.0.0.1", acceptor.local_endpoint().port()};
}

HttpServerSettings MakeSettings() {
  HttpServerSettings settings;
  settings.m_endpoint = FreeEndpoint();
  return settings;
}

// Status of the reply to one request, if there is one; closes the connection.
std::optional<unsigned> RequestStatus(asio::io_context& context,
                                      const Endpoint& endpoint) {
  HttpClientSettings settings;
  settings.m_endpoint = endpoint;
  HttpClient client(context, settings);
  HttpRequest request;
  request.m_headers = {{"Connection", "close"}};
  std::optional<unsigned> status;
  client.Send(request, kReplyTimeout, [&](const NetResult<HttpReply>& reply) {
    if (reply) {
      status = reply.assume_value().m_status;
    }
  });
  context.restart();
  context.run_for(kRunTime);
  return status;
}

// The request got no reply, and the process of the classic daemon ended.
TEST_CASE("a request whose handler throws is answered and the server serves") {
  asio::io_context context;
  const HttpServerSettings settings = MakeSettings();
  bool throws = true;
  HttpServer server(
      context, settings,
      [&](const HttpRequest&, const HttpServer::ReplyCallback& reply) {
        if (throws) {
          throw std::runtime_error("handler");
        }
        reply(HttpReply{});
      });
  REQUIRE(server.Start());
  CHECK(RequestStatus(context, settings.m_endpoint) == 500U);
  CHECK(server.RunningRequests() == 0);
  CHECK(server.OpenConnections() == 0);
  throws = false;
  CHECK(RequestStatus(context, settings.m_endpoint) == 200U);
}

// A second reply to the same request resumed a coroutine that had ended.
TEST_CASE("a handler that throws after its reply sends that reply only") {
  asio::io_context context;
  const HttpServerSettings settings = MakeSettings();
  HttpServer server(
      context, settings,
      [&](const HttpRequest&, const HttpServer::ReplyCallback& reply) {
        reply(HttpReply{});
        throw std::runtime_error("handler");
      });
  REQUIRE(server.Start());
  CHECK(RequestStatus(context, settings.m_endpoint) == 200U);
  CHECK(server.OpenConnections() == 0);
}

// The session stayed listed, and the next `CloseIdle` used it after its end.
TEST_CASE("a reply that cannot be written leaves no connection behind") {
  asio::io_context context;
  const HttpServerSettings settings = MakeSettings();
  HttpServer server(
      context, settings,
      [&](const HttpRequest&, const HttpServer::ReplyCallback& reply) {
        HttpReply too_long;
        too_long.m_headers = {{"X-Long", std::string(70'000, 'x')}};
        reply(too_long);
      });
  REQUIRE(server.Start());
  CHECK_FALSE(RequestStatus(context, settings.m_endpoint).has_value());
  CHECK(server.RunningRequests() == 0);
  CHECK(server.OpenConnections() == 0);
  server.CloseIdle();
  context.restart();
  context.run_for(kRunTime);
}

}  // namespace
}  // namespace jackdawrack
