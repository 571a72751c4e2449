#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "core/clock.h"
#include "model/endpoint.h"
#include "net/http_message.h"
#include "net/net_error.h"

namespace jackdawrack {

/// Bounds of one client connection.
struct HttpClientSettings {
  Endpoint m_endpoint;
  Milliseconds m_connect_timeout{1000};
  std::size_t m_max_reply_bytes = 8 << 20;
  /// Kernel bound on unacknowledged bytes, so that a silent path is noticed.
  Milliseconds m_user_timeout{5000};
};

/// One keep-alive HTTP connection that carries one request at a time.
///
/// Connects on first use and after a failure. All methods may be called from
/// any thread; handlers run on the connection's strand.
class HttpClient final {
 public:
  using ReplyHandler = std::function<void(NetResult<HttpReply>)>;
  using ConnectHandler = std::function<void(NetResult<void>)>;

  HttpClient(boost::asio::io_context& context, HttpClientSettings settings);
  ~HttpClient();

  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Opens the connection ahead of the first request.
  void Connect(ConnectHandler handler);

  /// Sends a request and waits for its reply; one at a time.
  void Send(HttpRequest request, Milliseconds timeout, ReplyHandler handler);

  /// Closes the connection; a waiting request fails as broken.
  void Close();

  /// When the open connection was made, or nothing if it is not open.
  [[nodiscard]] bool IsOpen() const;

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace jackdawrack
