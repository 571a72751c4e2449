#include "caller_session.h"

#include <fmt/format.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>

#include "core/check.h"
#include "core/event.h"
#include "core/exception_log.h"
#include "net/socket_options.h"

namespace jackdawrack {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr Milliseconds kTcpUserTimeout{10'000};

/// Longest wait for the caller to close its side after the last response.
constexpr Milliseconds kLingerTimeout{500};

/// Longest time to receive a body.
constexpr Milliseconds kBodyTimeout{10'000};

constexpr std::size_t kReadChunkBytes = 4'096;

/// Maximum number of bytes that are read but not yet parsed, besides those of a
/// header: of chunk headers and trailers among others.
constexpr std::size_t kMaxUnparsedBytes = 16 << 10;

/// Retry-After of a request whose body finds no memory.
constexpr Milliseconds kMemoryRetryAfter{500};

constexpr unsigned kStatusBadRequest = 400;
constexpr unsigned kStatusPayloadTooLarge = 413;
constexpr unsigned kStatusHeaderFieldsTooLarge = 431;
constexpr unsigned kStatusInternalError = 500;

// True if a line of the header starts with a space or a tab (obsolete line
// folding). HTTP implementations disagree on which field such a line belongs
// to, so that a field could be hidden in it.
bool HasFoldedField(const boost::beast::flat_buffer& buffer) {
  const auto bytes = buffer.data();
  const std::string_view text(static_cast<const char*>(bytes.data()),
                              bytes.size());
  const std::string_view header = text.substr(0, text.find("\r\n\r\n"));
  return header.find("\r\n ") != std::string_view::npos ||
         header.find("\r\n\t") != std::string_view::npos;
}

std::string MakeResponseHead(const CallerResponse& response,
                             bool keep_alive,
                             Milliseconds idle_timeout) {
  const auto reason =
      http::obsolete_reason(static_cast<http::status>(response.m_status));
  std::string head =
      fmt::format("HTTP/1.1 {} {}\r\n", response.m_status,
                  std::string_view(reason.data(), reason.size()));
  head += response.m_fields;
  head += fmt::format("Content-Length: {}\r\n", response.m_body.size());
  head += keep_alive ? fmt::format("Keep-Alive: timeout={}\r\n\r\n",
                                   idle_timeout.count() / 1000)
                     : "Connection: close\r\n\r\n";
  return head;
}

}  // namespace

CallerSession::CallerSession(asio::ip::tcp::socket socket,
                             CallerRequestHandler& handler,
                             const MemoryBudget& memory)
    : m_socket(std::move(socket)),
      m_request_handler(handler),
      m_body_memory(memory) {
  ApplySocketOptions(m_socket, kTcpUserTimeout);
}

void CallerSession::Start() {
  Run(ReadRequest());
}

void CallerSession::Run(asio::awaitable<void> part) {
  asio::co_spawn(
      m_socket.get_executor(), std::move(part),
      [self = shared_from_this()](const std::exception_ptr& failure) {
        if (failure) {
          self->OnException(failure);
        }
      });
}

void CallerSession::OnException(const std::exception_ptr& failure) {
  LogException("caller session", failure);
  if (const auto active_request = std::move(m_active_request)) {
    m_active_request = nullptr;
    active_request->OnCallerDisconnected();
  }
  const bool is_owed_response =
      !m_has_response &&
      (m_state == State::kReading || m_state == State::kServing);
  if (is_owed_response) {
    RefuseWith(MakeLocalResponse(kStatusInternalError, "Internal error."));
  } else {
    Close();
  }
}

asio::awaitable<void> CallerSession::ReadRequest() {
  const auto self = shared_from_this();
  m_body_memory.Release();
  m_state = State::kIdle;
  m_idle_since = BootClock().Now();
  m_timeout_at = TimePoint::max();

  // Read until the request is complete
  while (m_state == State::kIdle || !m_parser->is_done()) {
    if (m_buffer.size() == 0 || m_state == State::kReading) {
      const auto [error, size] = co_await m_socket.async_read_some(
          m_buffer.prepare(kReadChunkBytes), kAwaitTuple);
      if (error == asio::error::operation_aborted && HasUnreadBytes()) {
        continue;
      }
      if (error) {
        OnReadError(error);
        co_return;
      }
      m_buffer.commit(size);
    }
    if (m_state == State::kIdle) {
      BeginRequest();
    }
    if (const auto error = Parse()) {
      OnReadError(error);
      co_return;
    }
    if (!ReserveBody()) {
      RefuseWith(MakeServiceUnavailableResponse(
          kMemoryRetryAfter, "Too many bodies are being received."));
      co_return;
    }
    if (m_buffer.size() > m_limits.m_max_header_bytes + kMaxUnparsedBytes &&
        !m_parser->is_done()) {
      Refuse(http::error::header_limit);
      co_return;
    }
  }

  // Pass the request to the gateway
  m_state = State::kServing;
  m_timeout_at = TimePoint::max();
  m_is_keep_alive_requested = m_parser->keep_alive();
  m_is_head_request = m_parser->get().method() == http::verb::head;
  const auto active_request = m_request_handler.Serve(
      m_parser->release(), BootClock().Now(), [self](CallerResponse response) {
        self->OnResponse(std::move(response));
      });
  m_active_request = active_request;
  if (active_request != nullptr) {
    // The response may come before `Start` returns, which resets
    // `m_active_request`; `active_request` keeps the object alive until then
    active_request->Start();
  }
  if (m_state == State::kServing && m_active_request != nullptr) {
    WatchForDisconnect();
  }
}

void CallerSession::BeginRequest() {
  // The limits may have changed while the connection was idle
  m_limits = m_request_handler.Limits();
  m_state = State::kReading;
  m_has_response = false;
  m_timeout_at = BootClock().Now() + m_limits.m_header_timeout;
  m_parser.emplace();
  m_parser->header_limit(m_limits.m_max_header_bytes);
  m_parser->body_limit(m_limits.m_max_body_bytes);
  m_parser->eager(true);
}

boost::system::error_code CallerSession::Parse() {
  boost::system::error_code error;
  if (!m_parser->is_header_done() && HasFoldedField(m_buffer)) {
    return http::error::bad_field;
  }
  while (m_buffer.size() > 0 && !m_parser->is_done()) {
    const bool had_header = m_parser->is_header_done();
    const std::size_t used = PutBytes(error);
    m_buffer.consume(used);
    if (error == http::error::need_more) {
      error = {};
      break;
    }
    if (error) {
      return error;
    }
    if (m_parser->is_header_done() && !had_header) {
      m_timeout_at = BootClock().Now() + kBodyTimeout;
    }
  }
  return error;
}

std::size_t CallerSession::PutBytes(boost::system::error_code& error) {
  try {
    return m_parser->put(m_buffer.data(), error);
  } catch (const std::length_error&) {
    // The parser holds fields of at most 64 KB, whatever the limit
    error = http::error::header_limit;
    return 0;
  }
}

bool CallerSession::ReserveBody() {
  if (!m_parser->is_header_done()) {
    return true;
  }
  return m_body_memory.Resize(std::max<std::size_t>(
      m_parser->get().body().size(), m_parser->content_length().value_or(0)));
}

void CallerSession::OnReadError(const boost::system::error_code& error) {
  const bool is_http_error =
      error.category() ==
          http::make_error_code(http::error::bad_value).category() &&
      error != http::error::end_of_stream &&
      error != http::error::partial_message;
  if (is_http_error) {
    Refuse(error);
  } else {
    Close();
  }
}

void CallerSession::Refuse(const boost::system::error_code& error) {
  unsigned status = kStatusBadRequest;
  if (error == http::error::body_limit) {
    status = kStatusPayloadTooLarge;
  } else if (error == http::error::header_limit) {
    status = kStatusHeaderFieldsTooLarge;
  }
  LogEvent(EventId::kCallerInputRefused, "status={} reason=\"{}\"", status,
           error.message());
  RefuseWith(MakeLocalResponse(status, error.message()));
}

void CallerSession::RefuseWith(CallerResponse response) {
  m_is_keep_alive_requested = false;
  m_state = State::kServing;
  m_timeout_at = TimePoint::max();
  OnResponse(std::move(response));
}

void CallerSession::OnResponse(CallerResponse response) {
  m_active_request = nullptr;
  m_has_response = true;
  if (IsClosed()) {
    return;
  }
  const bool keep_alive = m_is_keep_alive_requested &&
                          !response.m_closes_connection &&
                          m_request_handler.AllowsKeepAlive();
  try {
    Run(WriteResponse(std::move(response), keep_alive));
  } catch (...) {
    LogException("response to caller", std::current_exception());
    Close();
  }
}

asio::awaitable<void> CallerSession::WriteResponse(CallerResponse response,
                                                   bool keep_alive) {
  const auto self = shared_from_this();
  m_announced_idle_time = m_request_handler.Limits().m_idle_timeout;
  const std::string head =
      MakeResponseHead(response, keep_alive, m_announced_idle_time);
  std::array<asio::const_buffer, 2> buffers{asio::buffer(head), {}};
  if (!m_is_head_request) {
    buffers[1] = asio::buffer(response.m_body);
  }
  const auto [error, size] =
      co_await asio::async_write(m_socket, buffers, kAwaitTuple);
  if (error) {
    Close();
    co_return;
  }
  if (keep_alive) {
    co_await ReadRequest();
  } else {
    co_await LingeringClose();
  }
}

asio::awaitable<void> CallerSession::LingeringClose() {
  // Closing a socket with unread bytes resets the connection, and the caller
  // may lose the response
  m_state = State::kClosing;
  m_timeout_at = BootClock().Now() + kLingerTimeout;
  boost::system::error_code ignored;
  m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  std::array<char, 4096> discarded{};
  while (true) {
    const auto [error, size] =
        co_await m_socket.async_read_some(asio::buffer(discarded), kAwaitTuple);
    if (error) {
      break;
    }
  }
  Close();
}

void CallerSession::WatchForDisconnect() {
  if (m_is_disconnect_watch_pending) {
    return;
  }
  m_is_disconnect_watch_pending = true;
  m_socket.async_wait(asio::ip::tcp::socket::wait_read,
                      [self = shared_from_this()](boost::system::error_code) {
                        self->m_is_disconnect_watch_pending = false;
                        self->OnReadable();
                      });
}

void CallerSession::OnReadable() {
  if (m_active_request == nullptr || IsClosed()) {
    return;
  }
  char byte = 0;
  const auto peeked = recv(m_socket.native_handle(), &byte, sizeof(byte),
                           MSG_PEEK | MSG_DONTWAIT);
  if (peeked > 0) {
    return;
  }
  if (peeked < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
    WatchForDisconnect();
    return;
  }
  const auto active_request = std::move(m_active_request);
  m_active_request = nullptr;
  active_request->OnCallerDisconnected();
  Close();
}

bool CallerSession::HasUnreadBytes() {
  char byte = 0;
  return !IsClosed() && recv(m_socket.native_handle(), &byte, sizeof(byte),
                             MSG_PEEK | MSG_DONTWAIT) > 0;
}

void CallerSession::CloseIfTimedOut(TimePoint now) {
  if (m_state == State::kIdle) {
    CloseIfIdle(now, std::max(m_request_handler.Limits().m_idle_timeout,
                              m_announced_idle_time));
  } else if (now >= m_timeout_at) {
    Close();
  }
}

void CallerSession::CloseIfIdle(TimePoint now, Milliseconds min_idle_time) {
  if (m_state != State::kIdle || now - m_idle_since < min_idle_time) {
    return;
  }
  // Cancels a pending read only; a read that has completed is processed
  boost::system::error_code ignored;
  m_socket.cancel(ignored);
}

void CallerSession::FinishRequest() {
  if (const auto active_request = m_active_request) {
    active_request->FinishNow();
  }
}

void CallerSession::Close() {
  m_timeout_at = TimePoint::max();
  m_state = State::kClosing;
  boost::system::error_code ignored;
  m_socket.close(ignored);
}

}  // namespace jackdawrack
