#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "core/clock.h"

namespace jackdawrack {

/// Sets no-delay, keepalive and the bound on unacknowledged bytes, so that a
/// path that has gone silent is noticed by the kernel too.
void ApplySocketOptions(boost::asio::ip::tcp::socket& socket,
                        Milliseconds user_timeout);

}  // namespace jackdawrack
