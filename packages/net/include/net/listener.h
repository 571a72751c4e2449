#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "model/endpoint.h"
#include "net/net_error.h"

namespace jackdawrack {

/// Opens `acceptor`, binds it to `endpoint` and starts to listen. Connections
/// stay in the listen backlog until they are accepted. Blocks for at most 5 s
/// while the address is taken, unless SIGTERM or SIGINT is held back. The
/// message of an error contains the address.
NetResult<void> OpenListener(boost::asio::ip::tcp::acceptor& acceptor,
                             const Endpoint& endpoint);

}  // namespace jackdawrack
