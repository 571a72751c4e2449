#include "net/http_client.h"

#include <sys/socket.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>

#include "core/check.h"
#include "core/exception_log.h"
#include "net/outbound_address.h"
#include "net/socket_options.h"
#include "net/tcp_endpoint.h"

namespace jackdawrack {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using Parser = http::response_parser<http::string_body>;

constexpr std::size_t kMaxUnparsedBytes = 64 << 10;

/// Maximum number of interim replies (1xx) before the final one.
constexpr unsigned kMaxInterimReplies = 8;

constexpr unsigned kFirstFinalStatus = 200;

constexpr auto kUseAwaitableTuple = asio::as_tuple(asio::use_awaitable);

http::request<http::string_body> ToBeastRequest(const HttpRequest& request,
                                                const std::string& host) {
  http::request<http::string_body> wire;
  wire.version(11);
  wire.method_string(request.m_method);
  wire.target(request.m_target);
  wire.set(http::field::host, host);
  for (const HttpHeader& header : request.m_headers) {
    wire.set(header.m_name, header.m_value);
  }
  wire.body() = request.m_body;
  wire.prepare_payload();
  return wire;
}

HttpReply ToHttpReply(http::response<http::string_body>& wire) {
  HttpReply reply;
  reply.m_status = wire.result_int();
  for (const auto& field : wire) {
    reply.m_headers.push_back(HttpHeader{std::string(field.name_string()),
                                         std::string(field.value())});
  }
  reply.m_body = std::move(wire.body());
  return reply;
}

NetError ToNetError(const beast::error_code& error) {
  if (error == beast::error::timeout) {
    return MakeError(NetErrc::kTimeout, "no reply within the timeout");
  }
  if (error == http::error::body_limit) {
    return MakeError(NetErrc::kTooLarge, error.message());
  }
  if (error.category() ==
          http::make_error_code(http::error::bad_value).category() &&
      error != http::error::end_of_stream &&
      error != http::error::partial_message) {
    return MakeError(NetErrc::kMalformed, error.message());
  }
  return MakeError(NetErrc::kConnectionLost, error.message());
}

}  // namespace

class HttpClient::Impl final : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& context, HttpClientSettings settings)
      : m_settings(std::move(settings)), m_stream(asio::make_strand(context)) {}

  void Connect(ConnectHandler handler) {
    asio::co_spawn(m_stream.get_executor(),
                   RunConnect(shared_from_this(), std::move(handler)),
                   LogFailure("HTTP reply"));
  }

  void Send(HttpRequest request, Milliseconds timeout, ReplyHandler handler) {
    asio::co_spawn(m_stream.get_executor(),
                   RunSend(shared_from_this(), std::move(request), timeout,
                           std::move(handler)),
                   LogFailure("HTTP reply"));
  }

  void Close() {
    asio::dispatch(m_stream.get_executor(),
                   [self = shared_from_this()] { self->CloseNow(); });
  }

  [[nodiscard]] bool IsOpen() const { return m_open.load(); }

 private:
  static asio::awaitable<void> RunConnect(std::shared_ptr<Impl> self,
                                          ConnectHandler handler) {
    handler(co_await self->EnsureConnected(self->m_settings.m_connect_timeout));
  }

  static asio::awaitable<void> RunSend(std::shared_ptr<Impl> self,
                                       HttpRequest request,
                                       Milliseconds timeout,
                                       ReplyHandler handler) {
    NetResult<HttpReply> result =
        MakeError(NetErrc::kConnectionLost, "the exchange failed");
    try {
      result = co_await self->Exchange(request, timeout);
    } catch (...) {
      LogException("HTTP exchange", std::current_exception());
      self->m_busy = false;
      self->CloseNow();
    }
    handler(std::move(result));
  }

  asio::awaitable<NetResult<void>> EnsureConnected(Milliseconds timeout) {
    if (m_open && !IsStale()) {
      co_return boost::outcome_v2::success();
    }
    CloseNow();
    beast::error_code address_error;
    const auto endpoint = ToTcpEndpoint(m_settings.m_endpoint, address_error);
    if (!address_error && !m_stream.socket().is_open()) {
      BindOutboundAddress(m_stream.socket(), address_error);
    }
    if (address_error) {
      CloseNow();
      co_return MakeError(NetErrc::kNotSent, address_error.message());
    }
    m_stream.expires_after(std::min(timeout, m_settings.m_connect_timeout));
    const auto [error] =
        co_await m_stream.async_connect(endpoint, kUseAwaitableTuple);
    if (error) {
      CloseNow();
      co_return MakeError(NetErrc::kNotSent, error.message());
    }
    ApplySocketOptions(m_stream.socket(), m_settings.m_user_timeout);
    m_buffer.clear();
    m_open = true;
    co_return boost::outcome_v2::success();
  }

  asio::awaitable<NetResult<HttpReply>> Exchange(const HttpRequest& request,
                                                 Milliseconds timeout) {
    JR_CHECK(!m_busy);
    m_busy = true;
    NetResult<HttpReply> result = co_await ExchangeOnce(request, timeout);
    m_busy = false;
    co_return result;
  }

  asio::awaitable<NetResult<HttpReply>> ExchangeOnce(const HttpRequest& request,
                                                     Milliseconds timeout) {
    const auto opened = co_await EnsureConnected(timeout);
    if (!opened) {
      co_return opened.error();
    }

    // Send the request
    m_stream.expires_after(timeout);
    const auto wire = ToBeastRequest(request, m_settings.m_endpoint.ToText());
    const auto [write_error, written] =
        co_await http::async_write(m_stream, wire, kUseAwaitableTuple);
    if (write_error) {
      CloseNow();
      co_return written == 0
          ? MakeError(NetErrc::kNotSent, write_error.message())
          : ToNetError(write_error);
    }

    // Wait for the whole reply
    std::optional<Parser> parser;
    const auto read_error = co_await ReadFinalReply(parser);
    if (read_error) {
      CloseNow();
      co_return ToNetError(read_error);
    }
    m_stream.expires_never();
    if (!parser->keep_alive()) {
      CloseNow();
    }
    co_return ToHttpReply(parser->get());
  }

  // Reads the final reply and skips the interim ones (1xx) before it.
  asio::awaitable<beast::error_code> ReadFinalReply(
      std::optional<Parser>& parser) {
    for (unsigned interim = 0; interim <= kMaxInterimReplies; ++interim) {
      parser.emplace();
      parser->body_limit(m_settings.m_max_reply_bytes);
      const auto [error, read] = co_await http::async_read(
          m_stream, m_buffer, *parser, kUseAwaitableTuple);
      if (error || parser->get().result_int() >= kFirstFinalStatus) {
        co_return error;
      }
    }
    co_return http::error::bad_status;
  }

  // Returns true if the peer has closed the idle connection or has sent data
  // without a request.
  [[nodiscard]] bool IsStale() {
    char byte = 0;
    const auto peeked = recv(m_stream.socket().native_handle(), &byte,
                             sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    return peeked >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
  }

  void CloseNow() {
    m_open = false;
    beast::error_code ignored;
    m_stream.socket().close(ignored);
  }

  const HttpClientSettings m_settings;
  beast::tcp_stream m_stream;
  /// Bounded, since chunk headers and trailers are kept until they are whole.
  beast::flat_buffer m_buffer{kMaxUnparsedBytes};
  std::atomic<bool> m_open{false};
  bool m_busy = false;
};

HttpClient::HttpClient(boost::asio::io_context& context,
                       HttpClientSettings settings)
    : m_impl(std::make_shared<Impl>(context, std::move(settings))) {}

HttpClient::~HttpClient() {
  m_impl->Close();
}

void HttpClient::Connect(ConnectHandler handler) {
  m_impl->Connect(std::move(handler));
}

void HttpClient::Send(HttpRequest request,
                      Milliseconds timeout,
                      ReplyHandler handler) {
  m_impl->Send(std::move(request), timeout, std::move(handler));
}

void HttpClient::Close() {
  m_impl->Close();
}

bool HttpClient::IsOpen() const {
  return m_impl->IsOpen();
}

}  // namespace jackdawrack
