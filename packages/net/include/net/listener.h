#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "model/endpoint.h"
#include "net/net_error.h"

namespace jackdawrack {

/// Opens, binds and listens; connections wait until they are accepted. The
/// error names the address.
NetResult<void> OpenListener(boost::asio::ip::tcp::acceptor& acceptor,
                             const Endpoint& endpoint);

}  // namespace jackdawrack
