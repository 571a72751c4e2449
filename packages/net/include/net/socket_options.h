#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "core/clock.h"

namespace jackdawrack {

/// Enables `TCP_NODELAY` and TCP keepalive and sets `TCP_USER_TIMEOUT`, so that
/// the kernel detects an unresponsive peer. Failures are ignored.
void ApplySocketOptions(boost::asio::ip::tcp::socket& socket,
                        Milliseconds user_timeout);

}  // namespace jackdawrack
