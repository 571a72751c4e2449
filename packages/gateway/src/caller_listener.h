#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <list>

#include "caller_session.h"
#include "model/endpoint.h"
#include "net/net_error.h"

namespace jackdawrack {

/// Accepts connections of callers and owns their sessions.
class CallerListener final {
 public:
  /// `handler` and `memory`, which bounds the request bodies of all callers
  /// together, must outlive the listener.
  CallerListener(boost::asio::io_context& context,
                 Endpoint endpoint,
                 CallerRequestHandler& handler,
                 MemoryBudget& memory);

  CallerListener(const CallerListener&) = delete;
  CallerListener& operator=(const CallerListener&) = delete;

  /// Binds and listens; connections stay in the backlog until
  /// `BeginAccepting`. The error message contains the address.
  NetResult<void> Start();

  /// Starts to accept connections, or starts again if an exception has ended
  /// that; has no effect while connections are accepted.
  void BeginAccepting();

  /// Accepts the connections in the backlog, then closes the listening socket.
  void StopAccepting();

  /// Closes connections whose timeout has expired and removes the sessions of
  /// closed ones.
  void CloseTimedOut(TimePoint now);

  /// Closes connections that have waited for a request for at least
  /// `min_idle_time`.
  void CloseIdle(TimePoint now, Milliseconds min_idle_time);

  /// Responds at once to all requests that are being served.
  void FinishRequests();

  /// Number of sessions; closed ones count until the next `CloseTimedOut`.
  [[nodiscard]] std::size_t ConnectionCount() const {
    return m_sessions.size();
  }

 private:
  boost::asio::awaitable<void> AcceptLoop();
  /// Starts a session; an exception drops that connection only.
  void TryStartSession(boost::asio::ip::tcp::socket socket);
  void StartSession(boost::asio::ip::tcp::socket socket);

  boost::asio::ip::tcp::acceptor m_acceptor;
  const Endpoint m_endpoint;
  CallerRequestHandler& m_request_handler;
  MemoryBudget& m_memory;
  bool m_is_accepting = false;
  std::list<std::shared_ptr<CallerSession>> m_sessions;
};

}  // namespace jackdawrack
