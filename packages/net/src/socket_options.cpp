#include "net/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace jackdawrack {
namespace {

constexpr int kKeepaliveIdleS = 2;
constexpr int kKeepaliveIntervalS = 1;
constexpr int kKeepaliveProbes = 3;

template <int kName>
using TcpOption =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, kName>;

}  // namespace

void ApplySocketOptions(boost::asio::ip::tcp::socket& socket,
                        Milliseconds user_timeout) {
  boost::system::error_code ignored;
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  socket.set_option(TcpOption<TCP_KEEPIDLE>(kKeepaliveIdleS), ignored);
  socket.set_option(TcpOption<TCP_KEEPINTVL>(kKeepaliveIntervalS), ignored);
  socket.set_option(TcpOption<TCP_KEEPCNT>(kKeepaliveProbes), ignored);
  socket.set_option(
      TcpOption<TCP_USER_TIMEOUT>(static_cast<int>(user_timeout.count())),
      ignored);
}

}  // namespace jackdawrack
