#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <list>

#include "caller_session.h"
#include "model/endpoint.h"
#include "net/net_error.h"

namespace jackdawrack {

/// Accepts callers' connections and holds their sessions.
class CallerListener final {
 public:
  /// `service` outlives the listener.
  CallerListener(boost::asio::io_context& context,
                 Endpoint endpoint,
                 CallerService& service);

  CallerListener(const CallerListener&) = delete;
  CallerListener& operator=(const CallerListener&) = delete;

  /// Binds and listens; connections wait. The error names the address.
  NetResult<void> Start();

  /// Begins to accept; further calls do nothing.
  void BeginAccepting();

  /// Takes the connections that wait, and no further ones.
  void StopAccepting();

  /// Closes slow and idle connections and forgets closed ones.
  void CloseOverdue(TimePoint now);

  /// Ends connections that have waited for a request for `least_idle`.
  void EndIdle(TimePoint now, Milliseconds least_idle);

  [[nodiscard]] std::size_t OpenConnections() const {
    return m_sessions.size();
  }

 private:
  boost::asio::awaitable<void> AcceptLoop();
  void Begin(boost::asio::ip::tcp::socket socket);

  boost::asio::ip::tcp::acceptor m_acceptor;
  const Endpoint m_endpoint;
  CallerService& m_service;
  bool m_is_accepting = false;
  std::list<std::shared_ptr<CallerSession>> m_sessions;
};

}  // namespace jackdawrack
