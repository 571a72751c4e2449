#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "core/boot_clock.h"
#include "upstream_response.h"

namespace jackdawrack {

/// How an exchange on a connection ended.
enum class ExchangeStatus : std::uint8_t {
  /// A complete response to the request was received.
  kCompleted,
  /// No byte of the request was sent.
  kNotSent,
  /// The request may have run, but no complete response was received.
  kIncomplete,
};

/// Result of an exchange, with the response if one was received.
struct ExchangeResult {
  ExchangeStatus m_status = ExchangeStatus::kIncomplete;
  std::optional<UpstreamResponse> m_response;
  /// Time that it took to open the connection; zero if it was open.
  Duration m_connect_time{};
};

/// A request to be sent to an upstream.
struct OutgoingRequest {
  /// Returns the request line and the header fields, including the final empty
  /// line. Called when the request is sent, as one field is the time left.
  std::function<std::string()> m_make_head;
  /// Null if there is no body.
  std::shared_ptr<const std::string> m_body;
  /// Request id that the response must have, if it has one.
  std::string m_request_id;
  bool m_is_head_request = false;
};

/// What the responses on an `UpstreamConnection` must be like.
struct UpstreamResponseRules {
  /// Name of the header field in which the upstream echoes the request id.
  std::string m_request_id_header;
  /// Name of the header field that holds the upstream's signature.
  std::string m_signature_header;
  /// Maximum size of a body.
  std::size_t m_max_body_bytes = 0;
  /// Bounds the bodies of all connections together.
  MemoryBudget& m_memory;
};

/// One connection to an upstream, which carries one request at a time.
///
/// The connection is closed after a response without the id of the request,
/// which may be a late copy of a response to an earlier one, after bytes that
/// follow a response, and after a malformed or oversized response. All
/// functions and handlers run on the single thread of the `io_context`.
class UpstreamConnection final
    : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  using Handler = std::function<void(ExchangeResult)>;
  using HeaderListener =
      std::function<void(const boost::beast::http::response_header<>&)>;

  /// `rules` outlives the connection. After `max_idle_time` without a request
  /// the connection is closed. `on_header` is called with the header of each
  /// response, also of one that is no longer needed, before its body is read.
  UpstreamConnection(boost::asio::io_context& context,
                     boost::asio::ip::tcp::endpoint endpoint,
                     const UpstreamResponseRules& rules,
                     Milliseconds max_idle_time,
                     HeaderListener on_header);

  UpstreamConnection(const UpstreamConnection&) = delete;
  UpstreamConnection& operator=(const UpstreamConnection&) = delete;

  /// Sends a request, after connecting if necessary. `IsIdle` must be true. If
  /// this throws, nothing has changed and the handler is not called.
  void Send(OutgoingRequest request, Handler handler);

  /// Gives up the current request: if it has not been sent, it is not sent at
  /// all; otherwise `CloseIfTimedOut` closes the connection from `close_at` on.
  void Abandon(TimePoint close_at);

  /// Closes the connection if an abandoned request or the connection attempt
  /// has taken too long, or if the connection has been idle for too long.
  void CloseIfTimedOut(TimePoint now);

  /// Closes the connection; a request that has been sent ends as
  /// `ExchangeStatus::kIncomplete`.
  void Close();

  /// True if no request has been sent on the connection since it was last idle.
  [[nodiscard]] bool IsUnused() const {
    return !m_is_closed && (!m_is_busy || !m_is_connected);
  }

  [[nodiscard]] bool IsIdle() const { return !m_is_busy && !m_is_closed; }
  [[nodiscard]] bool IsClosed() const { return m_is_closed; }

  /// True if a response has been received on this connection.
  [[nodiscard]] bool HasReceivedResponse() const {
    return m_has_received_response;
  }

  /// True if the upstream has neither closed the connection nor sent unexpected
  /// bytes, and will not close it soon because it is idle.
  [[nodiscard]] bool IsReusable(TimePoint now);

  /// Time at which the last exchange ended.
  [[nodiscard]] TimePoint IdleSince() const { return m_idle_since; }

 private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  class RunningExchange;

  boost::asio::awaitable<void> Run(OutgoingRequest request,
                                   std::shared_ptr<RunningExchange> running);
  /// Makes the connection idle, or closes it, and passes on the result.
  void EndExchange(ExchangeResult result, const Handler& handler);
  boost::asio::awaitable<ExchangeResult> ConnectAndExchange(
      const OutgoingRequest& request);
  boost::asio::awaitable<ExchangeResult> Exchange(
      const OutgoingRequest& request);
  boost::asio::awaitable<bool> Connect();
  /// Reads the header of the final response; false if there is none for the
  /// request.
  boost::asio::awaitable<bool> ReadHeader(const OutgoingRequest& request,
                                          std::optional<Parser>& parser);
  /// Reads the rest of the response; false if it is incomplete or too large.
  boost::asio::awaitable<bool> ReadBody(Parser& parser,
                                        MemoryReservation& memory);
  void StartWrite(std::string head, std::shared_ptr<const std::string> body);
  void UpdateReuseDeadline(const UpstreamResponse& response);

  boost::asio::ip::tcp::socket m_socket;
  const boost::asio::ip::tcp::endpoint m_endpoint;
  const UpstreamResponseRules& m_rules;
  const Milliseconds m_max_idle_time;
  const HeaderListener m_on_header;
  boost::beast::flat_buffer m_buffer;
  TimePoint m_connect_deadline{};
  TimePoint m_idle_since{};
  TimePoint m_reuse_deadline{};
  std::optional<TimePoint> m_close_at;
  bool m_is_connected = false;
  bool m_has_received_response = false;
  bool m_is_busy = false;
  bool m_is_closed = false;
  bool m_is_abandoned = false;
  bool m_is_write_pending = false;
  bool m_has_write_failed = false;
};

}  // namespace jackdawrack
