#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>

#include "model/endpoint.h"
#include "net/net_error.h"
#include "peer/peer_service.h"
#include "peer/peer_traffic.h"

namespace jackdawrack {

/// Accepts connections from peers and passes their calls to a service.
class PeerServer final {
 public:
  /// `self` is sent as this side's hello.
  PeerServer(boost::asio::io_context& context,
             Endpoint endpoint,
             Hello self,
             PeerService service,
             const PeerTraffic& traffic);
  ~PeerServer();

  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  /// Binds and starts to accept.
  NetResult<void> Start();

  /// Tells every peer to ask nothing more; what was asked is answered, and the
  /// peers close their connections.
  void SayGoodbye();

  /// Open connections of peers.
  [[nodiscard]] std::size_t OpenConnections() const;

  /// Closes the listener and every connection.
  void Stop();

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace jackdawrack
