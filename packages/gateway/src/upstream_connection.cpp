#include "upstream_connection.h"

#include <sys/socket.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <charconv>

#include "core/check.h"
#include "net/socket_options.h"

namespace jackdawrack {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);

/// Longest time to connect: enough for a round trip between regions and the
/// processing by the upstream, but not for a retransmission of the first
/// packet.
constexpr Milliseconds kConnectTimeout{400};

/// Longest idle time after which a connection is reused.
constexpr Milliseconds kMaxIdleTime{10'000};

/// Subtracted from the idle timeout that the upstream announces, to allow for
/// network latency.
constexpr Milliseconds kKeepAliveMargin{1'000};

constexpr Milliseconds kTcpUserTimeout{3'000};
constexpr std::size_t kMaxResponseBytes = 8 << 20;

// Parses the "timeout=N" parameter, in seconds, of a Keep-Alive field.
std::optional<Milliseconds> ParseKeepAliveTimeout(std::string_view field) {
  constexpr std::string_view kParameter = "timeout=";
  const std::size_t position = field.find(kParameter);
  if (position == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view digits = field.substr(position + kParameter.size());
  std::uint32_t seconds = 0;
  const auto parsed =
      std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (parsed.ec != std::errc()) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds);
}

}  // namespace

UpstreamConnection::UpstreamConnection(asio::io_context& context,
                                       asio::ip::tcp::endpoint endpoint,
                                       std::string request_id_header)
    : m_socket(context),
      m_endpoint(std::move(endpoint)),
      m_request_id_header(std::move(request_id_header)) {}

void UpstreamConnection::Send(OutgoingRequest request, Handler handler) {
  JR_CHECK(IsIdle());
  m_is_busy = true;
  m_is_abandoned = false;
  m_connect_deadline = BootClock().Now() + kConnectTimeout;
  asio::co_spawn(
      m_socket.get_executor(),
      [self = shared_from_this(), request = std::move(request),
       handler = std::move(handler)]() mutable {
        return self->Run(std::move(request), std::move(handler));
      },
      asio::detached);
}

asio::awaitable<void> UpstreamConnection::Run(OutgoingRequest request,
                                              Handler handler) {
  const auto self = shared_from_this();
  ExchangeResult result = co_await Exchange(request);
  m_is_busy = false;
  m_close_at.reset();
  m_idle_since = BootClock().Now();
  if (result.m_status != ExchangeStatus::kCompleted && !m_is_abandoned) {
    Close();
  }
  if (result.m_status == ExchangeStatus::kIncomplete) {
    Close();
  }
  handler(std::move(result));
}

asio::awaitable<bool> UpstreamConnection::Connect() {
  if (m_is_connected) {
    co_return true;
  }
  const auto [error] = co_await m_socket.async_connect(m_endpoint, kAwaitTuple);
  if (error || m_is_closed) {
    co_return false;
  }
  ApplySocketOptions(m_socket, kTcpUserTimeout);
  m_is_connected = true;
  m_reuse_deadline = BootClock().Now() + kMaxIdleTime;
  co_return true;
}

asio::awaitable<ExchangeResult> UpstreamConnection::Exchange(
    const OutgoingRequest& request) {
  const bool is_connected = co_await Connect();
  if (!is_connected) {
    Close();
    co_return ExchangeResult{ExchangeStatus::kNotSent, std::nullopt};
  }
  if (m_is_abandoned) {
    co_return ExchangeResult{ExchangeStatus::kNotSent, std::nullopt};
  }

  // Write while reading, as an upstream may respond before it has read the
  // whole request
  StartWrite(request.m_make_head(), request.m_body);
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxResponseBytes);
  parser.skip(request.m_is_head_request);
  const auto [error, size] =
      co_await http::async_read(m_socket, m_buffer, parser, kAwaitTuple);
  if (error) {
    co_return ExchangeResult{ExchangeStatus::kIncomplete, std::nullopt};
  }

  // Keep the connection only if no bytes are left to read or write
  const bool is_kept = parser.keep_alive() && m_buffer.size() == 0 &&
                       !m_is_write_pending && !m_has_write_failed;
  UpstreamResponse response = parser.release();
  const auto echoed = response.find(m_request_id_header);
  if (echoed != response.end() && echoed->value() != request.m_request_id) {
    co_return ExchangeResult{ExchangeStatus::kIncomplete, std::nullopt};
  }
  m_has_received_response = true;
  UpdateReuseDeadline(response);
  if (!is_kept) {
    Close();
  }
  co_return ExchangeResult{ExchangeStatus::kCompleted, std::move(response)};
}

void UpstreamConnection::StartWrite(std::string head,
                                    std::shared_ptr<const std::string> body) {
  const auto kept_head = std::make_shared<const std::string>(std::move(head));
  std::array<asio::const_buffer, 2> buffers{asio::buffer(*kept_head), {}};
  if (body != nullptr) {
    buffers[1] = asio::buffer(*body);
  }
  m_is_write_pending = true;
  asio::async_write(m_socket, buffers,
                    [self = shared_from_this(), kept_head, body](
                        boost::system::error_code error, std::size_t) {
                      self->m_is_write_pending = false;
                      self->m_has_write_failed = static_cast<bool>(error);
                    });
}

void UpstreamConnection::UpdateReuseDeadline(const UpstreamResponse& response) {
  Milliseconds idle_time = kMaxIdleTime;
  const auto field = response.find(http::field::keep_alive);
  if (field != response.end()) {
    const auto announced = ParseKeepAliveTimeout(
        std::string_view(field->value().data(), field->value().size()));
    if (announced) {
      idle_time = std::min(idle_time, *announced - kKeepAliveMargin);
    }
  }
  m_reuse_deadline = BootClock().Now() + idle_time;
}

void UpstreamConnection::Abandon(TimePoint close_at) {
  m_is_abandoned = true;
  m_close_at = close_at;
}

void UpstreamConnection::CloseIfTimedOut(TimePoint now) {
  if (m_is_closed) {
    return;
  }
  const bool has_abandoned_timed_out =
      m_is_busy && m_close_at && now >= *m_close_at;
  const bool has_connect_timed_out =
      m_is_busy && !m_is_connected && now >= m_connect_deadline;
  const bool has_idle_timed_out = !m_is_busy && now >= m_reuse_deadline;
  if (has_abandoned_timed_out || has_connect_timed_out || has_idle_timed_out) {
    Close();
  }
}

void UpstreamConnection::Close() {
  m_is_closed = true;
  boost::system::error_code ignored;
  m_socket.close(ignored);
}

bool UpstreamConnection::IsReusable(TimePoint now) {
  if (!m_is_connected || now >= m_reuse_deadline || m_is_write_pending) {
    return false;
  }
  char byte = 0;
  const auto peeked = recv(m_socket.native_handle(), &byte, sizeof(byte),
                           MSG_PEEK | MSG_DONTWAIT);
  return peeked < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace jackdawrack
