#include "upstream_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <charconv>

#include "core/check.h"
#include "core/event.h"
#include "core/exception_log.h"
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

/// Subtracted from the idle timeout that the upstream announces, to allow for
/// network latency.
constexpr Milliseconds kKeepAliveMargin{1'000};

constexpr Milliseconds kTcpUserTimeout{3'000};

/// Maximum size of a response header, and of the bytes that are read but not
/// yet parsed: chunk headers and trailers among them.
constexpr std::uint32_t kMaxHeaderBytes = 16 << 10;
constexpr std::size_t kMaxUnparsedBytes = 64 << 10;

/// Maximum number of interim responses (1xx) before the final one.
constexpr unsigned kMaxInterimResponses = 8;

constexpr unsigned kFirstFinalStatus = 200;

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

// True if the header belongs to the response of the request `request_id`. A
// late copy of another response has another id or none. A copy that breaks off
// inside a field runs into the next response: a value then contains a status
// line, or a field that is unique appears twice.
bool IsHeaderOf(const std::string& request_id,
                const http::response_header<>& header,
                const UpstreamResponseRules& rules) {
  if (header.count(rules.m_request_id_header) != 1 ||
      header[rules.m_request_id_header] != request_id ||
      header.count(rules.m_signature_header) > 1) {
    return false;
  }
  return std::none_of(header.begin(), header.end(), [](const auto& field) {
    return field.name() != http::field::via &&
           field.value().find("HTTP/1.") != beast::string_view::npos;
  });
}

}  // namespace

UpstreamConnection::UpstreamConnection(asio::io_context& context,
                                       asio::ip::tcp::endpoint endpoint,
                                       const UpstreamResponseRules& rules,
                                       Milliseconds max_idle_time,
                                       HeaderListener on_header)
    : m_socket(context),
      m_endpoint(std::move(endpoint)),
      m_rules(rules),
      m_max_idle_time(max_idle_time),
      m_on_header(std::move(on_header)),
      m_buffer(kMaxUnparsedBytes) {}

/// Ends an exchange whose coroutine is dropped without a result, as an
/// exception leaves one of its operations.
class UpstreamConnection::RunningExchange final {
 public:
  RunningExchange(std::shared_ptr<UpstreamConnection> connection,
                  Handler handler)
      : m_connection(std::move(connection)), m_handler(std::move(handler)) {}

  ~RunningExchange() {
    if (m_handler == nullptr) {
      return;
    }
    try {
      asio::post(m_connection->m_socket.get_executor(),
                 [connection = m_connection, handler = std::move(m_handler)] {
                   connection->EndExchange(ExchangeResult{}, handler);
                 });
    } catch (...) {
      LogException("upstream exchange", std::current_exception());
    }
  }

  RunningExchange(const RunningExchange&) = delete;
  RunningExchange& operator=(const RunningExchange&) = delete;

  void End(ExchangeResult result) {
    m_connection->EndExchange(std::move(result),
                              std::exchange(m_handler, nullptr));
  }

 private:
  const std::shared_ptr<UpstreamConnection> m_connection;
  Handler m_handler;
};

void UpstreamConnection::Send(OutgoingRequest request, Handler handler) {
  JR_CHECK(IsIdle());
  auto running =
      std::make_shared<RunningExchange>(shared_from_this(), std::move(handler));
  m_is_busy = true;
  m_is_abandoned = false;
  m_connect_deadline = BootClock().Now() + kConnectTimeout;
  try {
    asio::co_spawn(
        m_socket.get_executor(),
        [self = shared_from_this(), request = std::move(request),
         running = std::move(running)]() mutable {
          return self->Run(std::move(request), std::move(running));
        },
        LogFailure("upstream response"));
  } catch (...) {
    // `running` passes on that the exchange has ended
    LogException("upstream exchange", std::current_exception());
  }
}

asio::awaitable<void> UpstreamConnection::Run(
    OutgoingRequest request,
    std::shared_ptr<RunningExchange> running) {
  ExchangeResult result;
  try {
    result = co_await ConnectAndExchange(request);
  } catch (...) {
    LogException("upstream exchange", std::current_exception());
  }
  running->End(std::move(result));
}

void UpstreamConnection::EndExchange(ExchangeResult result,
                                     const Handler& handler) {
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

asio::awaitable<ExchangeResult> UpstreamConnection::ConnectAndExchange(
    const OutgoingRequest& request) {
  const TimePoint started_at = BootClock().Now();
  const bool is_connected = co_await Connect();
  const Duration connect_time = BootClock().Now() - started_at;
  ExchangeResult result;
  if (is_connected) {
    result = co_await Exchange(request);
  } else {
    Close();
    result.m_status = ExchangeStatus::kNotSent;
  }
  result.m_connect_time = connect_time;
  co_return result;
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
  m_reuse_deadline = BootClock().Now() + m_max_idle_time;
  co_return true;
}

asio::awaitable<ExchangeResult> UpstreamConnection::Exchange(
    const OutgoingRequest& request) {
  if (m_is_abandoned) {
    co_return ExchangeResult{ExchangeStatus::kNotSent, std::nullopt, {}};
  }

  // Write while reading, as an upstream may respond before it has read the
  // whole request
  StartWrite(request.m_make_head(), request.m_body);
  std::optional<Parser> parser;
  MemoryReservation memory(m_rules.m_memory);
  const bool is_complete = co_await ReadHeader(request, parser) &&
                           co_await ReadBody(*parser, memory);
  if (!is_complete) {
    co_return ExchangeResult{ExchangeStatus::kIncomplete, std::nullopt, {}};
  }

  // Keep the connection only if no bytes are left to read or write
  const bool is_kept = parser->keep_alive() && m_buffer.size() == 0 &&
                       !m_is_write_pending && !m_has_write_failed;
  UpstreamResponse response(parser->release(), std::move(memory));
  m_has_received_response = true;
  UpdateReuseDeadline(response);
  if (!is_kept) {
    Close();
  }
  co_return ExchangeResult{ExchangeStatus::kCompleted, std::move(response), {}};
}

asio::awaitable<bool> UpstreamConnection::ReadHeader(
    const OutgoingRequest& request,
    std::optional<Parser>& parser) {
  for (unsigned read = 0; read <= kMaxInterimResponses; ++read) {
    parser.emplace();
    parser->header_limit(kMaxHeaderBytes);
    parser->body_limit(m_rules.m_max_body_bytes);
    parser->skip(request.m_is_head_request);
    const auto [error, size] = co_await http::async_read_header(
        m_socket, m_buffer, *parser, kAwaitTuple);
    if (error) {
      co_return false;
    }
    if (parser->get().result_int() >= kFirstFinalStatus) {
      // A late copy of another response is recognized before its body is read,
      // which may never be complete
      const bool is_own =
          IsHeaderOf(request.m_request_id, parser->get(), m_rules);
      if (!is_own) {
        const auto echoed = parser->get()[m_rules.m_request_id_header];
        LogEvent(EventId::kLateReplyDropped, "upstream={} request={} echoed={}",
                 m_endpoint.address().to_string(), request.m_request_id,
                 std::string_view(echoed.data(), echoed.size()));
      } else {
        m_on_header(parser->get());
      }
      co_return is_own;
    }
  }
  co_return false;
}

asio::awaitable<bool> UpstreamConnection::ReadBody(Parser& parser,
                                                   MemoryReservation& memory) {
  while (!parser.is_done()) {
    const std::size_t needed = std::max<std::size_t>(
        parser.get().body().size(), parser.content_length().value_or(0));
    if (!memory.Resize(needed)) {
      co_return false;
    }
    const auto [error, size] =
        co_await http::async_read_some(m_socket, m_buffer, parser, kAwaitTuple);
    if (error) {
      co_return false;
    }
  }
  co_return memory.Resize(parser.get().body().size());
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
  Milliseconds idle_time = m_max_idle_time;
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
