#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>

namespace jackdawrack {

/// Returns a port of the loopback address on which nothing listens.
[[nodiscard]] inline std::uint16_t FreePort() {
  using boost::asio::ip::tcp;
  boost::asio::io_context context;
  const tcp::acceptor acceptor(
      context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  return acceptor.local_endpoint().port();
}

}  // namespace jackdawrack
