#include "net/http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <stdexcept>
#include <thread>

#include "free_port.h"
#include "net/run_context.h"

namespace jackdawrack {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

/// A server on a thread of its own.
class ServedHandler final {
 public:
  explicit ServedHandler(HttpServer::Handler handler) {
    HttpServerSettings settings;
    settings.m_endpoint = Endpoint{"127.0.0.1", FreePort()};
    m_address = tcp::endpoint(asio::ip::address_v4::loopback(),
                              settings.m_endpoint.m_port);
    m_server.emplace(m_context, settings, std::move(handler));
    REQUIRE(m_server->Start());
    m_thread = std::thread([this] { RunContext(m_context); });
  }

  ~ServedHandler() {
    m_context.stop();
    m_thread.join();
  }

  ServedHandler(const ServedHandler&) = delete;
  ServedHandler& operator=(const ServedHandler&) = delete;

  [[nodiscard]] HttpServer& Server() { return *m_server; }

  // The status of the reply to a request after which the connection is closed;
  // 0 if there is none.
  [[nodiscard]] unsigned Call() const {
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect(m_address);
    asio::write(socket, asio::buffer(std::string(
                            "GET / HTTP/1.1\r\nConnection: close\r\n\r\n")));
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> reply;
    boost::system::error_code error;
    http::read(socket, buffer, reply, error);
    return error ? 0 : reply.result_int();
  }

  // True if the server is without connections and requests in time.
  [[nodiscard]] bool IsFreeInTime() {
    const TimePoint until = SteadyClock().Now() + Milliseconds(3'000);
    while (m_server->OpenConnections() + m_server->RunningRequests() > 0 &&
           SteadyClock().Now() < until) {
      std::this_thread::sleep_for(Milliseconds(10));
    }
    return m_server->OpenConnections() + m_server->RunningRequests() == 0;
  }

 private:
  asio::io_context m_context;
  tcp::endpoint m_address;
  std::optional<HttpServer> m_server;
  std::thread m_thread;
};

// The connection closed without a reply and counted as open for ever, and a
// later `CloseIdle` used its session, which was gone.
TEST_CASE("a handler that throws costs a status 500, not the session") {
  ServedHandler served([](const HttpRequest&, const auto&) {
    throw std::runtime_error("handler");
  });
  for (int call = 0; call < 3; ++call) {
    CHECK(served.Call() == 500);
  }
  CHECK(served.IsFreeInTime());
  served.Server().CloseIdle();
}

// A second reply completed the same exchange again.
TEST_CASE("only the first reply to a request is sent") {
  const bool throws = GENERATE(false, true);
  ServedHandler served(
      [throws](const HttpRequest&, const HttpServer::ReplyCallback& reply) {
        reply(HttpReply{});
        reply(HttpReply{});
        if (throws) {
          throw std::runtime_error("after the reply");
        }
      });
  CHECK(served.Call() == 200);
  CHECK(served.IsFreeInTime());
}

}  // namespace
}  // namespace jackdawrack
