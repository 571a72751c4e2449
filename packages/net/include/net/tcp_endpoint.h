#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "model/endpoint.h"

namespace jackdawrack {

/// Converts an endpoint for use with a socket; sets `error` if its address is
/// not an IPv4 address.
[[nodiscard]] inline boost::asio::ip::tcp::endpoint ToTcpEndpoint(
    const Endpoint& endpoint,
    boost::system::error_code& error) {
  return {boost::asio::ip::make_address_v4(endpoint.m_address, error),
          endpoint.m_port};
}

}  // namespace jackdawrack
