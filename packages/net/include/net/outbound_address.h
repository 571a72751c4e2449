#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace jackdawrack {

/// Sets the source address of every connection dialled on `context`; empty
/// leaves the choice to the kernel. To be called before the first connection.
void SetOutboundAddress(boost::asio::io_context& context,
                        const std::string& address);

/// Opens a socket and binds it to the source address of its context. Does
/// nothing where none is set; `error` tells why the address cannot be used.
void BindOutboundAddress(boost::asio::ip::tcp::socket& socket,
                         boost::system::error_code& error);

}  // namespace jackdawrack
