#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "active_request.h"
#include "core/memory_budget.h"
#include "routing/routing_config.h"

namespace jackdawrack {

/// Handles the requests of callers; implemented by the gateway.
class CallerRequestHandler {
 public:
  virtual ~CallerRequestHandler() = default;

  /// Limits on requests that arrive now.
  [[nodiscard]] virtual CallerLimits Limits() const = 0;

  /// False if connections are to be closed after their next response.
  [[nodiscard]] virtual bool AllowsKeepAlive() const = 0;

  /// Creates the object that processes a request; the session then starts it.
  /// Returns null if `on_response` has been called already.
  virtual std::shared_ptr<ActiveRequest> Serve(
      CallerHttpRequest request,
      TimePoint arrived_at,
      ActiveRequest::ResponseHandler on_response) = 0;
};

/// One HTTP/1.1 connection of a caller; requests are served one at a time.
class CallerSession final : public std::enable_shared_from_this<CallerSession> {
 public:
  /// `handler` must outlive the session. `memory` bounds the request bodies of
  /// all sessions together.
  CallerSession(boost::asio::ip::tcp::socket socket,
                CallerRequestHandler& handler,
                const MemoryBudget& memory);

  CallerSession(const CallerSession&) = delete;
  CallerSession& operator=(const CallerSession&) = delete;

  /// Starts to read the first request.
  void Start();

  /// Closes the connection if the caller has sent too slowly or been idle for
  /// too long.
  void CloseIfTimedOut(TimePoint now);

  /// Closes the connection if it has waited for a request for at least
  /// `min_idle_time`. A request that has arrived in the meantime is still
  /// served.
  void CloseIfIdle(TimePoint now, Milliseconds min_idle_time);

  /// Responds at once to the request that is being served, if there is one.
  void FinishRequest();

  [[nodiscard]] bool IsClosed() const { return !m_socket.is_open(); }

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  enum class State : std::uint8_t { kIdle, kReading, kServing, kClosing };

  /// Runs a part of the session; an exception ends the session.
  void Run(boost::asio::awaitable<void> part);
  void OnException(const std::exception_ptr& failure);
  boost::asio::awaitable<void> ReadRequest();
  /// Prepares for the request whose first bytes have arrived.
  void BeginRequest();
  /// Passes the bytes read so far to the parser.
  boost::system::error_code Parse();
  /// Passes the buffered bytes to the parser once; returns how many it took.
  std::size_t PutBytes(boost::system::error_code& error);
  /// Reserves the memory of the body that is being read; false if there is too
  /// little.
  [[nodiscard]] bool ReserveBody();
  boost::asio::awaitable<void> WriteResponse(CallerResponse response,
                                             bool keep_alive);
  boost::asio::awaitable<void> LingeringClose();
  void OnResponse(CallerResponse response);
  void WatchForDisconnect();
  void OnReadable();
  void OnReadError(const boost::system::error_code& error);
  void Refuse(const boost::system::error_code& error);
  void RefuseWith(CallerResponse response);
  [[nodiscard]] bool HasUnreadBytes();
  void Close();

  boost::asio::ip::tcp::socket m_socket;
  CallerRequestHandler& m_request_handler;
  boost::beast::flat_buffer m_buffer;
  std::optional<Parser> m_parser;
  /// Memory of the body of the current request.
  MemoryReservation m_body_memory;
  std::shared_ptr<ActiveRequest> m_active_request;
  State m_state = State::kIdle;
  /// Limits on the current request.
  CallerLimits m_limits;
  /// Idle time that the last response announced to the caller.
  Milliseconds m_announced_idle_time{0};
  TimePoint m_timeout_at = TimePoint::max();
  TimePoint m_idle_since{};
  bool m_is_keep_alive_requested = false;
  bool m_is_head_request = false;
  /// True once the response to the current request is known.
  bool m_has_response = false;
  bool m_is_disconnect_watch_pending = false;
};

}  // namespace jackdawrack
