#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>

#include "model/endpoint.h"
#include "net/net_error.h"
#include "peer/peer_service.h"
#include "peer/peer_traffic.h"

namespace jackdawrack {

/// Accepts connections from peers and dispatches their calls to a service.
/// Thread-safe.
class PeerServer final {
 public:
  /// `self` is the hello frame that is sent on each accepted connection.
  PeerServer(boost::asio::io_context& context,
             Endpoint endpoint,
             Hello self,
             PeerService service,
             const PeerTraffic& traffic);
  ~PeerServer();

  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  /// Binds the endpoint and starts accepting connections. Returns an error if
  /// the endpoint cannot be bound.
  NetResult<void> Start();

  /// Requests all peers to send no new calls. Pending calls are still answered;
  /// then the peers close their connections.
  void SendGoodbye();

  /// Number of open connections from peers.
  [[nodiscard]] std::size_t OpenConnections() const;

  /// Closes the listener and all connections.
  void Stop();

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace jackdawrack
