#include "net/http_server.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <set>

#include "core/check.h"
#include "core/exception_log.h"
#include "net/listener.h"
#include "net/socket_options.h"

namespace jackdawrack {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::size_t kMaxUnparsedBytes = 64 << 10;

constexpr auto kUseAwaitableTuple = asio::as_tuple(asio::use_awaitable);
constexpr Milliseconds kUserTimeout{10'000};
constexpr std::size_t kReadBytes = 4096;

/// Time without a request or new connection after which the server counts as
/// quiet.
constexpr Milliseconds kQuietPeriod{500};

/// Limit of each wait for the peer to close its side of the connection.
constexpr Milliseconds kLingerTimeout{500};

using Acceptor = asio::ip::tcp::acceptor;
using Parser = http::request_parser<http::string_body>;

HttpRequest ToHttpRequest(http::request<http::string_body>& wire) {
  HttpRequest request;
  request.m_method = std::string(wire.method_string());
  request.m_target = std::string(wire.target());
  for (const auto& field : wire) {
    request.m_headers.push_back(HttpHeader{std::string(field.name_string()),
                                           std::string(field.value())});
  }
  request.m_body = std::move(wire.body());
  return request;
}

http::response<http::string_body> ToBeastResponse(HttpReply reply,
                                                  bool keep_alive) {
  http::response<http::string_body> wire;
  wire.version(11);
  wire.result(reply.m_status);
  wire.set(http::field::content_type, reply.m_content_type);
  for (const HttpHeader& header : reply.m_headers) {
    wire.set(header.m_name, header.m_value);
  }
  wire.body() = std::move(reply.m_body);
  wire.keep_alive(keep_alive);
  wire.prepare_payload();
  return wire;
}

HttpReply MakeParseErrorReply(const beast::error_code& error) {
  HttpReply reply;
  if (error == http::error::body_limit) {
    reply.m_status = 413;
    reply.m_body =
        R"({"error":"body_too_large","message":"The body is too large.","executed":"no"})";
  } else if (error == http::error::header_limit) {
    reply.m_status = 431;
    reply.m_body =
        R"({"error":"headers_too_large","message":"The headers are too large.","executed":"no"})";
  } else {
    reply.m_status = 400;
    reply.m_body =
        R"({"error":"malformed_http","message":"The request is not valid HTTP.","executed":"no"})";
  }
  return reply;
}

HttpReply MakeInternalErrorReply() {
  HttpReply reply;
  reply.m_status = 500;
  reply.m_body =
      R"({"error":"internal","message":"Internal error.","executed":"unknown"})";
  return reply;
}

bool IsParseError(const beast::error_code& error) {
  static const auto& category =
      http::make_error_code(http::error::bad_value).category();
  return error.category() == category && error != http::error::end_of_stream &&
         error != http::error::partial_message;
}

}  // namespace

class HttpServer::Impl final : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& context, HttpServerSettings settings, Handler handler)
      : m_context(context),
        m_settings(std::move(settings)),
        m_handler(std::move(handler)),
        m_acceptor(asio::make_strand(context)) {}

  NetResult<void> Start() {
    auto opened = OpenListener(m_acceptor, m_settings.m_endpoint);
    if (opened) {
      asio::co_spawn(m_acceptor.get_executor(), AcceptLoop(shared_from_this()),
                     asio::detached);
    }
    return opened;
  }

  void StopAccepting() {
    m_stopping = true;
    asio::post(m_acceptor.get_executor(),
               [self = shared_from_this()] { self->AcceptBacklogAndClose(); });
  }

  void CloseIdle() {
    const std::lock_guard lock(m_mutex);
    for (Session* session : m_sessions) {
      asio::post(session->m_stream.get_executor(),
                 [weak = session->weak_from_this()] {
                   if (const auto alive = weak.lock()) {
                     alive->CloseIfIdle();
                   }
                 });
    }
  }

  [[nodiscard]] bool IsListenerClosed() const { return m_listener_closed; }

  void EndKeepAlive() { m_ending_keep_alive = true; }

  [[nodiscard]] bool IsQuiet() const {
    return m_running_requests == 0 &&
           m_last_activity.load() + kQuietPeriod <= SteadyClock().Now();
  }

  [[nodiscard]] std::size_t RunningRequests() const {
    return m_running_requests;
  }

  [[nodiscard]] std::size_t OpenConnections() const {
    const std::lock_guard lock(m_mutex);
    return m_sessions.size();
  }

 private:
  struct Session : std::enable_shared_from_this<Session> {
    explicit Session(asio::ip::tcp::socket socket)
        : m_stream(std::move(socket)) {}

    // Closes the connection unless a byte of a request has arrived.
    void CloseIfIdle() {
      beast::error_code ignored;
      if (!m_has_request && m_stream.socket().available(ignored) == 0) {
        m_stream.cancel();
      }
    }

    beast::tcp_stream m_stream;
    /// Bounded, since chunk headers and trailers are kept until they are whole.
    beast::flat_buffer m_buffer{kMaxUnparsedBytes};
    bool m_has_request = false;
  };

  // Removes a session at its end, also after an exception.
  class OpenSession final {
   public:
    OpenSession(Impl& server, Session& session)
        : m_server(server), m_session(session) {}
    ~OpenSession() {
      const std::lock_guard lock(m_server.m_mutex);
      m_server.m_sessions.erase(&m_session);
    }

    OpenSession(const OpenSession&) = delete;
    OpenSession& operator=(const OpenSession&) = delete;

   private:
    Impl& m_server;
    Session& m_session;
  };

  // Counts a request while it is in progress, however it ends.
  class RunningRequest final {
   public:
    RunningRequest(Impl& server, Session& session)
        : m_server(server), m_session(session) {
      m_session.m_has_request = true;
      ++m_server.m_running_requests;
    }
    ~RunningRequest() {
      m_server.m_last_activity = SteadyClock().Now();
      --m_server.m_running_requests;
      m_session.m_has_request = false;
    }

    RunningRequest(const RunningRequest&) = delete;
    RunningRequest& operator=(const RunningRequest&) = delete;

   private:
    Impl& m_server;
    Session& m_session;
  };

  static asio::awaitable<void> AcceptLoop(std::shared_ptr<Impl> self) {
    while (!self->m_stopping) {
      auto [error, socket] = co_await self->m_acceptor.async_accept(
          asio::make_strand(self->m_context), kUseAwaitableTuple);
      if (error) {
        if (error == asio::error::operation_aborted ||
            error == asio::error::bad_descriptor) {
          co_return;
        }
        // Retry later, for example when the process is out of file descriptors
        asio::steady_timer timer(self->m_acceptor.get_executor());
        timer.expires_after(Milliseconds(10));
        co_await timer.async_wait(kUseAwaitableTuple);
        continue;
      }
      self->StartSession(std::move(socket));
      if (self->m_settings.m_accept_delay.count() > 0) {
        asio::steady_timer timer(self->m_acceptor.get_executor());
        timer.expires_after(self->m_settings.m_accept_delay);
        co_await timer.async_wait(kUseAwaitableTuple);
      }
    }
  }

  // Accepts all connections in the listen backlog, since closing the listener
  // would reset them, then closes the listener.
  void AcceptBacklogAndClose() {
    beast::error_code error;
    m_acceptor.non_blocking(true, error);
    while (!error) {
      asio::ip::tcp::socket socket(asio::make_strand(m_context));
      m_acceptor.accept(socket, error);
      if (!error) {
        StartSession(std::move(socket));
      }
    }
    m_acceptor.close(error);
    m_listener_closed = true;
  }

  void StartSession(asio::ip::tcp::socket socket) {
    m_last_activity = SteadyClock().Now();
    auto session = std::make_shared<Session>(std::move(socket));
    {
      const std::lock_guard lock(m_mutex);
      if (m_sessions.size() >= m_settings.m_max_connections) {
        return;
      }
      m_sessions.insert(session.get());
    }
    ApplySocketOptions(session->m_stream.socket(), kUserTimeout);
    asio::co_spawn(session->m_stream.get_executor(),
                   RunSession(shared_from_this(), session),
                   LogFailure("HTTP session"));
  }

  static asio::awaitable<void> RunSession(std::shared_ptr<Impl> self,
                                          std::shared_ptr<Session> session) {
    const OpenSession open(*self, *session);
    while (co_await self->ServeRequest(*session)) {
    }
    co_await ShutDownGracefully(*session);
  }

  // Shuts down sending and reads until the peer closes, so that the last reply
  // is not lost to a connection reset.
  static asio::awaitable<void> ShutDownGracefully(Session& session) {
    beast::error_code error;
    session.m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send,
                                       error);
    session.m_stream.expires_after(kLingerTimeout);
    while (!error) {
      session.m_buffer.clear();
      const auto [read_error, bytes] =
          co_await session.m_stream.async_read_some(
              session.m_buffer.prepare(kReadBytes), kUseAwaitableTuple);
      error = read_error;
    }
  }

  // Serves one request. Returns false if the connection has to be closed.
  asio::awaitable<bool> ServeRequest(Session& session) {
    if (!co_await WaitForFirstByte(session)) {
      co_return false;
    }
    const RunningRequest running(*this, session);
    co_return co_await ReadAndHandle(session);
  }

  asio::awaitable<bool> WaitForFirstByte(Session& session) {
    if (session.m_buffer.size() > 0) {
      co_return true;
    }
    session.m_stream.expires_after(m_settings.m_idle_timeout);
    const auto [error, bytes] = co_await session.m_stream.async_read_some(
        session.m_buffer.prepare(kReadBytes), kUseAwaitableTuple);
    session.m_buffer.commit(bytes);
    co_return !error;
  }

  asio::awaitable<bool> ReadAndHandle(Session& session) {
    Parser parser;
    parser.body_limit(m_settings.m_max_body_bytes);
    parser.header_limit(m_settings.m_max_header_bytes);
    session.m_stream.expires_after(m_settings.m_idle_timeout);
    const auto [error, bytes] = co_await http::async_read(
        session.m_stream, session.m_buffer, parser, kUseAwaitableTuple);
    if (error) {
      if (IsParseError(error)) {
        co_await Write(session, MakeParseErrorReply(error), false);
      }
      co_return false;
    }

    // Run the handler, without a time limit
    session.m_stream.expires_never();
    const bool keep_alive_requested = parser.get().keep_alive();
    HttpReply reply = co_await Handle(ToHttpRequest(parser.get()));
    const bool keep_alive =
        keep_alive_requested && !m_stopping && !m_ending_keep_alive;
    const bool written = co_await Write(session, std::move(reply), keep_alive);
    co_return written&& keep_alive;
  }

  asio::awaitable<HttpReply> Handle(HttpRequest request) {
    co_return co_await asio::async_initiate<decltype(asio::use_awaitable),
                                            void(HttpReply)>(
        [this](auto completion, HttpRequest http_request) {
          auto shared =
              std::make_shared<decltype(completion)>(std::move(completion));
          const auto is_answered = std::make_shared<std::atomic<bool>>(false);
          const ReplyCallback send = [shared, is_answered](HttpReply reply) {
            if (is_answered->exchange(true)) {
              return;
            }
            auto executor = asio::get_associated_executor(*shared);
            asio::post(executor, [shared, reply = std::move(reply)]() mutable {
              (*shared)(std::move(reply));
            });
          };
          try {
            m_handler(std::move(http_request), send);
          } catch (...) {
            LogException("HTTP request", std::current_exception());
            send(MakeInternalErrorReply());
          }
        },
        asio::use_awaitable, std::move(request));
  }

  asio::awaitable<bool> Write(Session& session,
                              HttpReply reply,
                              bool keep_alive) {
    const auto wire = ToBeastResponse(std::move(reply), keep_alive);
    session.m_stream.expires_after(m_settings.m_idle_timeout);
    const auto [error, bytes] =
        co_await http::async_write(session.m_stream, wire, kUseAwaitableTuple);
    co_return !error;
  }

  asio::io_context& m_context;
  const HttpServerSettings m_settings;
  const Handler m_handler;
  Acceptor m_acceptor;
  std::atomic<bool> m_stopping{false};
  std::atomic<bool> m_ending_keep_alive{false};
  std::atomic<bool> m_listener_closed{false};
  std::atomic<TimePoint> m_last_activity{TimePoint{}};
  std::atomic<std::size_t> m_running_requests{0};
  mutable std::mutex m_mutex;
  std::set<Session*> m_sessions;
};

HttpServer::HttpServer(boost::asio::io_context& context,
                       HttpServerSettings settings,
                       Handler handler)
    : m_impl(std::make_shared<Impl>(context,
                                    std::move(settings),
                                    std::move(handler))) {}

HttpServer::~HttpServer() {
  m_impl->StopAccepting();
}

NetResult<void> HttpServer::Start() {
  return m_impl->Start();
}

void HttpServer::StopAccepting() {
  m_impl->StopAccepting();
}

bool HttpServer::IsListenerClosed() const {
  return m_impl->IsListenerClosed();
}

void HttpServer::EndKeepAlive() {
  m_impl->EndKeepAlive();
}

bool HttpServer::IsQuiet() const {
  return m_impl->IsQuiet();
}

void HttpServer::CloseIdle() {
  m_impl->CloseIdle();
}

std::size_t HttpServer::RunningRequests() const {
  return m_impl->RunningRequests();
}

std::size_t HttpServer::OpenConnections() const {
  return m_impl->OpenConnections();
}

}  // namespace jackdawrack
