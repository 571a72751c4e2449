#include "caller_session.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "mutation.h"

namespace jackdawrack {
namespace {

namespace asio = boost::asio;

/// A request that responds inside `Start` and records whether it was destroyed
/// before `Start` returned.
class ImmediateRequest final : public ActiveRequest {
 public:
  ImmediateRequest(ResponseHandler on_response,
                   std::shared_ptr<bool> is_destroyed)
      : m_on_response(std::move(on_response)),
        m_is_destroyed(std::move(is_destroyed)) {}
  ~ImmediateRequest() override { *m_is_destroyed = true; }

  ImmediateRequest(const ImmediateRequest&) = delete;
  ImmediateRequest& operator=(const ImmediateRequest&) = delete;

  void Start() override {
    const auto is_destroyed = m_is_destroyed;
    const ResponseHandler on_response = std::move(m_on_response);
    on_response(MakeLocalResponse(503, "No replica is available."));
    s_was_destroyed_early = *is_destroyed;
  }

  void OnCallerDisconnected() override {}
  void FinishNow() override {}

  inline static bool s_was_destroyed_early = false;

 private:
  ResponseHandler m_on_response;
  std::shared_ptr<bool> m_is_destroyed;
};

class ImmediateHandler final : public CallerRequestHandler {
 public:
  [[nodiscard]] CallerLimits Limits() const override { return m_limits; }
  [[nodiscard]] bool AllowsKeepAlive() const override { return m_keep_alive; }

  std::shared_ptr<ActiveRequest> Serve(
      CallerHttpRequest,
      TimePoint,
      ActiveRequest::ResponseHandler on_response) override {
    if (m_throws) {
      throw std::runtime_error("handler");
    }
    return std::make_shared<ImmediateRequest>(std::move(on_response),
                                              std::make_shared<bool>(false));
  }

  CallerLimits m_limits;
  bool m_keep_alive = false;
  bool m_throws = false;
};

/// A session, and the caller's side of its connection.
class ConnectedSession final {
 public:
  explicit ConnectedSession(const CallerLimits& limits,
                            Milliseconds run_time = Milliseconds(100))
      : m_run_time(run_time),
        m_acceptor(
            m_context,
            asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        m_caller(m_context) {
    m_handler.m_limits = limits;
    m_handler.m_keep_alive = true;
    m_caller.connect(m_acceptor.local_endpoint());
    m_session = std::make_shared<CallerSession>(m_acceptor.accept(), m_handler,
                                                m_memory);
    m_session->Start();
    Run();
  }

  /// Sends bytes and returns what the session has sent by then.
  std::string Exchange(const std::string& bytes) {
    boost::system::error_code ignored;
    asio::write(m_caller, asio::buffer(bytes), ignored);
    Run();
    std::string reply(m_caller.available(), '\0');
    asio::read(m_caller, asio::buffer(reply));
    return reply;
  }

  void Run() {
    m_context.restart();
    m_context.run_for(m_run_time);
  }

  ImmediateHandler& Handler() { return m_handler; }
  CallerSession& Session() { return *m_session; }

 private:
  const Milliseconds m_run_time;
  asio::io_context m_context;
  asio::ip::tcp::acceptor m_acceptor;
  asio::ip::tcp::socket m_caller;
  ImmediateHandler m_handler;
  const MemoryBudget m_memory{1 << 20};
  std::shared_ptr<CallerSession> m_session;
};

std::string MakePost(std::size_t header_bytes, std::size_t body_bytes) {
  return "POST / HTTP/1.1\r\nHost: app.test\r\nX-Fill: " +
         std::string(header_bytes, 'h') +
         "\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n" +
         std::string(body_bytes, 'b');
}

TEST_CASE("a request that responds inside Start lives until Start returns") {
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor(
      context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  asio::ip::tcp::socket caller(context);
  caller.connect(acceptor.local_endpoint());
  ImmediateHandler handler;
  const MemoryBudget memory(1 << 20);
  const auto session =
      std::make_shared<CallerSession>(acceptor.accept(), handler, memory);
  session->Start();
  asio::write(caller, asio::buffer(std::string_view(
                          "GET / HTTP/1.1\r\nHost: app.test\r\n\r\n")));
  context.run_for(Milliseconds(200));

  asio::streambuf reply;
  asio::read_until(caller, reply, "\r\n");
  std::string status(12, '\0');
  std::istream(&reply).read(status.data(), 12);
  REQUIRE(status == "HTTP/1.1 503");
  REQUIRE_FALSE(ImmediateRequest::s_was_destroyed_early);
}

// Connections that were idle when a limit was raised held the old one against
// their next request.
TEST_CASE("a request is held to the limits in force when it arrives") {
  CallerLimits first;
  first.m_max_header_bytes = 500;
  first.m_max_body_bytes = 1'000;
  ConnectedSession connection(first);
  CallerLimits& limits = connection.Handler().m_limits;
  REQUIRE(connection.Exchange(MakePost(10, 900)).starts_with("HTTP/1.1 503"));

  limits.m_max_header_bytes = 5'000;
  limits.m_max_body_bytes = 10'000;
  REQUIRE(
      connection.Exchange(MakePost(4'000, 9'000)).starts_with("HTTP/1.1 503"));

  limits.m_max_body_bytes = 1'000;
  REQUIRE(connection.Exchange(MakePost(10, 2'000)).starts_with("HTTP/1.1 413"));
}

// The parser throws there, and the request stayed without an answer until its
// timeout.
TEST_CASE("a header field over 64 KB is refused, whatever the limit") {
  CallerLimits limits;
  limits.m_max_header_bytes = 1 << 20;
  ConnectedSession connection(limits);
  REQUIRE(connection.Exchange(MakePost(60'000, 1)).starts_with("HTTP/1.1 503"));
  REQUIRE(connection.Exchange(MakePost(70'000, 1)).starts_with("HTTP/1.1 431"));
}

TEST_CASE("an exception ends a request with a response") {
  ConnectedSession connection(CallerLimits{});
  connection.Handler().m_throws = true;
  const std::string reply = connection.Exchange(MakePost(10, 10));
  REQUIRE(reply.starts_with("HTTP/1.1 500"));
  REQUIRE(reply.find("Connection: close\r\n") != std::string::npos);
}

TEST_CASE("any bytes of a caller are responded to, or more are waited for") {
  const std::string chunked =
      "POST /x HTTP/1.1\r\nHost: app.test\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n0\r\n\r\n";
  REQUIRE(rc::check([&chunked] {
    ConnectedSession connection(CallerLimits{}, Milliseconds(3));
    const std::string good = *rc::gen::element(MakePost(10, 20), chunked);
    const std::string reply = connection.Exchange(DrawMutation(good));
    RC_ASSERT(reply.empty() || reply.starts_with("HTTP/1.1 "));
    RC_ASSERT(!reply.starts_with("HTTP/1.1 500"));
  }));
}

TEST_CASE("an idle connection is kept for the idle timeout now in force") {
  CallerLimits first;
  first.m_idle_timeout = Milliseconds(15'000);
  ConnectedSession connection(first);
  CallerLimits& limits = connection.Handler().m_limits;
  connection.Session().CloseIfTimedOut(BootClock().Now() +
                                       Milliseconds(14'000));
  connection.Run();
  REQUIRE_FALSE(connection.Session().IsClosed());

  limits.m_idle_timeout = Milliseconds(60'000);
  connection.Session().CloseIfTimedOut(BootClock().Now() +
                                       Milliseconds(50'000));
  connection.Run();
  REQUIRE_FALSE(connection.Session().IsClosed());
  connection.Session().CloseIfTimedOut(BootClock().Now() +
                                       Milliseconds(61'000));
  connection.Run();
  REQUIRE(connection.Session().IsClosed());
}

TEST_CASE("an idle connection is kept for as long as its response announced") {
  CallerLimits first;
  first.m_idle_timeout = Milliseconds(15'000);
  ConnectedSession connection(first);
  CallerLimits& limits = connection.Handler().m_limits;
  const std::string reply = connection.Exchange(MakePost(10, 10));
  REQUIRE(reply.find("Keep-Alive: timeout=15\r\n") != std::string::npos);

  limits.m_idle_timeout = Milliseconds(5'000);
  connection.Session().CloseIfTimedOut(BootClock().Now() +
                                       Milliseconds(14'000));
  connection.Run();
  REQUIRE_FALSE(connection.Session().IsClosed());
  connection.Session().CloseIfTimedOut(BootClock().Now() +
                                       Milliseconds(16'000));
  connection.Run();
  REQUIRE(connection.Session().IsClosed());
}

}  // namespace
}  // namespace jackdawrack
