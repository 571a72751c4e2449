#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "core/clock.h"
#include "model/endpoint.h"
#include "net/http_message.h"
#include "net/net_error.h"

namespace jackdawrack {

/// Endpoint, timeouts and limits of one client connection.
struct HttpClientSettings {
  Endpoint m_endpoint;
  Milliseconds m_connect_timeout{1000};
  /// Limit of the size of a reply body.
  std::size_t m_max_reply_bytes = 8 << 20;
  /// `TCP_USER_TIMEOUT`: time that sent data may stay unacknowledged before the
  /// kernel closes the connection.
  Milliseconds m_user_timeout{5000};
};

/// One keep-alive HTTP connection that carries one request at a time.
///
/// Connects on first use and reconnects on the first use after a failure. All
/// methods may be called from any thread; handlers run on the connection's
/// strand.
class HttpClient final {
 public:
  using ReplyHandler = std::function<void(NetResult<HttpReply>)>;
  using ConnectHandler = std::function<void(NetResult<void>)>;

  HttpClient(boost::asio::io_context& context, HttpClientSettings settings);
  ~HttpClient();

  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Opens the connection before the first request. Fails with `kNotSent`.
  void Connect(ConnectHandler handler);

  /// Sends a request and passes its reply or an error to `handler`. `timeout`
  /// bounds the exchange after the connection is open. Only one request may be
  /// in progress at a time.
  void Send(HttpRequest request, Milliseconds timeout, ReplyHandler handler);

  /// Closes the connection; a request in progress fails.
  void Close();

  /// Returns true if the connection is open.
  [[nodiscard]] bool IsOpen() const;

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace jackdawrack
