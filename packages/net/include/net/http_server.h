#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "core/clock.h"
#include "model/endpoint.h"
#include "net/http_message.h"
#include "net/net_error.h"

namespace jackdawrack {

/// Bounds of one listener.
struct HttpServerSettings {
  Endpoint m_endpoint;
  std::size_t m_max_body_bytes = 1 << 20;
  std::uint32_t m_max_header_bytes = 16 << 10;
  std::size_t m_max_connections = 10'000;
  /// A connection without a request for this long is closed.
  Milliseconds m_idle_timeout{60'000};
  /// Delay of every accept, for stand-ins with a connection cost.
  Milliseconds m_accept_delay{0};
};

/// Accepts HTTP connections and gives each request to a handler.
class HttpServer final {
 public:
  using Reply = std::function<void(HttpReply)>;
  using Handler = std::function<void(HttpRequest, Reply)>;

  HttpServer(boost::asio::io_context& context,
             HttpServerSettings settings,
             Handler handler);
  ~HttpServer();

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Binds and starts to accept; the error names the address.
  NetResult<void> Start();

  /// Answers every further request with "Connection: close" and goes on
  /// accepting, so that clients with open connections move away.
  void EndKeepAlive();

  /// Takes what waits in the accept queue, closes the listener, and answers
  /// every further request with "Connection: close".
  void StopAccepting();

  /// True once `StopAccepting` has taken the last connection.
  [[nodiscard]] bool IsListenerClosed() const;

  /// True when no request runs and none came for a while.
  [[nodiscard]] bool IsQuiet() const;

  /// Closes connections without a request running.
  void CloseIdle();

  /// Requests of which a byte has arrived and that are not yet answered.
  [[nodiscard]] std::size_t RunningRequests() const;

  /// Open connections.
  [[nodiscard]] std::size_t OpenConnections() const;

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace jackdawrack
