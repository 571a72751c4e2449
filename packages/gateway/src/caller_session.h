#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "active_request.h"
#include "routing/routing_config.h"

namespace jackdawrack {

/// What a session asks of the gateway.
class CallerService {
 public:
  virtual ~CallerService() = default;

  /// Bounds on the next request.
  [[nodiscard]] virtual CallerLimits Limits() const = 0;

  /// False once connections are to be closed after their next answer.
  [[nodiscard]] virtual bool KeepsConnections() const = 0;

  /// Begins to serve a request; the run may be null if `answer` was called.
  virtual std::shared_ptr<ActiveRequest> Serve(
      CallerHttpRequest message,
      TimePoint arrived_at,
      ActiveRequest::ResponseHandler answer) = 0;
};

/// One connection of a caller; requests are served one after the other.
class CallerSession final : public std::enable_shared_from_this<CallerSession> {
 public:
  /// `service` outlives the session.
  CallerSession(boost::asio::ip::tcp::socket socket, CallerService& service);

  CallerSession(const CallerSession&) = delete;
  CallerSession& operator=(const CallerSession&) = delete;

  /// Begins to read.
  void Start();

  /// Closes the connection if the caller is too slow or idle for too long.
  void CloseOverdue(TimePoint now);

  /// Ends the connection if it has waited for a request for `least_idle`; a
  /// request that has arrived by then is served.
  void EndIfIdle(TimePoint now, Milliseconds least_idle);

  [[nodiscard]] bool IsClosed() const { return !m_socket.is_open(); }

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  enum class State : std::uint8_t { kIdle, kReading, kServing, kClosing };

  boost::asio::awaitable<void> ReadRequest();
  /// Parses what has been read so far.
  boost::system::error_code Parse();
  boost::asio::awaitable<void> WriteAnswer(CallerResponse answer, bool keep);
  boost::asio::awaitable<void> Linger();
  void OnAnswer(CallerResponse answer);
  void WatchForLeaving();
  void OnReadable();
  void OnReadError(const boost::system::error_code& error);
  void Refuse(const boost::system::error_code& error);
  [[nodiscard]] bool HasUnreadBytes();
  void Close();

  boost::asio::ip::tcp::socket m_socket;
  CallerService& m_service;
  boost::beast::flat_buffer m_buffer;
  std::optional<Parser> m_parser;
  std::shared_ptr<ActiveRequest> m_run;
  State m_state = State::kIdle;
  TimePoint m_overdue_at = TimePoint::max();
  TimePoint m_idle_since{};
  bool m_wants_keep_alive = false;
  bool m_is_head_method = false;
  bool m_is_watching = false;
};

}  // namespace jackdawrack
