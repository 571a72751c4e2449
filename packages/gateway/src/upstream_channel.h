#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "core/boot_clock.h"
#include "upstream_response.h"

namespace jackdawrack {

/// How an exchange on a channel ended.
enum class ExchangeEnd : std::uint8_t {
  /// A whole answer to this request came.
  kAnswered,
  /// No byte of the request was sent.
  kNotSent,
  /// The request may have run; no whole answer to it came.
  kBroken,
};

/// The end of an exchange, with the answer if there is one.
struct ExchangeResult {
  ExchangeEnd m_end = ExchangeEnd::kBroken;
  std::optional<UpstreamResponse> m_answer;
};

/// One request as it goes out.
struct ChannelRequest {
  /// Request line and fields with the empty line behind them; called at the
  /// moment of sending, as the time left is among the fields.
  std::function<std::string()> m_make_head;
  /// Null for no body.
  std::shared_ptr<const std::string> m_body;
  /// Value that the answer's request id has to equal.
  std::string m_request_id;
  bool m_is_head_method = false;
};

/// One connection to an upstream; it carries one request at a time.
///
/// An answer that does not belong to the request, bytes after an answer and a
/// broken frame close the channel. All calls and handlers run on the context's
/// only thread.
class UpstreamChannel final
    : public std::enable_shared_from_this<UpstreamChannel> {
 public:
  using Handler = std::function<void(ExchangeResult)>;

  /// `id_header` is the field in which the upstream echoes the request id.
  UpstreamChannel(boost::asio::io_context& context,
                  boost::asio::ip::tcp::endpoint endpoint,
                  std::string id_header);

  UpstreamChannel(const UpstreamChannel&) = delete;
  UpstreamChannel& operator=(const UpstreamChannel&) = delete;

  /// Sends a request, on a connection opened for it if there is none yet. The
  /// channel has to be idle.
  void Send(ChannelRequest request, Handler handler);

  /// Nobody waits for the answer any more: a request that was not sent yet
  /// stays unsent, one that runs has until `close_at`.
  void Abandon(TimePoint close_at);

  /// Closes the connection if its time is over: an abandoned request, a
  /// connection that does not open, or idleness.
  void CloseOverdue(TimePoint now);

  /// Closes the connection; a running exchange ends as broken.
  void Close();

  [[nodiscard]] bool IsIdle() const { return !m_is_busy && !m_is_closed; }
  [[nodiscard]] bool IsClosed() const { return m_is_closed; }

  /// An answer has come on this connection.
  [[nodiscard]] bool IsProven() const { return m_is_proven; }

  /// True if the other side has neither closed nor sent what nobody asked for,
  /// and will not close it for idleness soon.
  [[nodiscard]] bool IsReusable(TimePoint now);

  /// When the last exchange ended.
  [[nodiscard]] TimePoint IdleSince() const { return m_idle_since; }

 private:
  boost::asio::awaitable<void> Run(ChannelRequest request, Handler handler);
  boost::asio::awaitable<ExchangeResult> Exchange(
      const ChannelRequest& request);
  boost::asio::awaitable<bool> Connect();
  void StartWrite(std::string head, std::shared_ptr<const std::string> body);
  void NoteKeepAlive(const UpstreamResponse& answer);

  boost::asio::ip::tcp::socket m_socket;
  const boost::asio::ip::tcp::endpoint m_endpoint;
  const std::string m_id_header;
  boost::beast::flat_buffer m_buffer;
  TimePoint m_connect_until{};
  TimePoint m_idle_since{};
  TimePoint m_reuse_until{};
  std::optional<TimePoint> m_close_at;
  bool m_is_connected = false;
  bool m_is_proven = false;
  bool m_is_busy = false;
  bool m_is_closed = false;
  bool m_is_abandoned = false;
  bool m_is_write_pending = false;
  bool m_has_write_failed = false;
};

}  // namespace jackdawrack
