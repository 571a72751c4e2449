#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "core/clock.h"
#include "model/endpoint.h"
#include "net/http_message.h"
#include "net/net_error.h"

namespace jackdawrack {

/// Address, timeouts and limits of an `HttpServer`.
struct HttpServerSettings {
  /// Address to listen on.
  Endpoint m_endpoint;
  /// A larger request body is refused with status 413.
  std::size_t m_max_body_bytes = 1 << 20;
  /// A larger request header is refused with status 431.
  std::uint32_t m_max_header_bytes = 16 << 10;
  /// Further connections are closed as soon as they are accepted.
  std::size_t m_max_connections = 10'000;
  /// Idle time after which a connection is closed; also bounds the time to read
  /// a request and to write a reply.
  Milliseconds m_idle_timeout{60'000};
  /// Delay after each accepted connection, by which simulated upstreams model
  /// the cost of a connection.
  Milliseconds m_accept_delay{0};
};

/// Accepts HTTP connections and passes each request to a handler.
///
/// The destructor stops accepting.
class HttpServer final {
 public:
  /// Sends the reply to a request; may be called from any thread, once.
  using ReplyCallback = std::function<void(HttpReply)>;
  using Handler = std::function<void(HttpRequest, ReplyCallback)>;

  HttpServer(boost::asio::io_context& context,
             HttpServerSettings settings,
             Handler handler);
  ~HttpServer();

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Binds the address and starts to accept connections. The message of an
  /// error contains the address.
  NetResult<void> Start();

  /// Answers every further request with "Connection: close", so that clients
  /// reconnect elsewhere. The server continues to accept connections.
  void EndKeepAlive();

  /// Accepts the connections that are already in the listen backlog, closes the
  /// listener, and answers every further request with "Connection: close".
  void StopAccepting();

  /// Returns true once `StopAccepting` has closed the listener.
  [[nodiscard]] bool IsListenerClosed() const;

  /// Returns true if no request is in progress and there was no request or new
  /// connection for 500 ms.
  [[nodiscard]] bool IsQuiet() const;

  /// Closes the connections that have no request in progress.
  void CloseIdle();

  /// Returns the number of requests in progress: at least one byte has been
  /// received and the reply is not yet written.
  [[nodiscard]] std::size_t RunningRequests() const;

  /// Returns the number of open connections.
  [[nodiscard]] std::size_t OpenConnections() const;

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace jackdawrack
