#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace jackdawrack {

/// Sets the source address of every outgoing connection on `context`. With an
/// empty address the kernel chooses. Must be called before the first
/// connection.
void SetOutboundAddress(boost::asio::io_context& context,
                        const std::string& address);

/// Opens a socket and binds it to the source address of its context. Does
/// nothing if none is set. Sets `error` if the address is invalid or cannot be
/// bound.
void BindOutboundAddress(boost::asio::ip::tcp::socket& socket,
                         boost::system::error_code& error);

}  // namespace jackdawrack
