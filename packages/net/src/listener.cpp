#include "net/listener.h"

#include "net/tcp_endpoint.h"

namespace jackdawrack {
namespace {

using Acceptor = boost::asio::ip::tcp::acceptor;

/// Length of the listen backlog. It bounds the connections that can wait while
/// the process accepts none; a pause of several seconds can still overflow it.
constexpr int kListenBacklog = 1024;

}  // namespace

NetResult<void> OpenListener(Acceptor& acceptor, const Endpoint& endpoint) {
  boost::system::error_code error;
  const auto address = ToTcpEndpoint(endpoint, error);
  if (!error) {
    acceptor.open(address.protocol(), error);
  }
  if (!error) {
    acceptor.set_option(Acceptor::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(address, error);
  }
  if (!error) {
    acceptor.listen(kListenBacklog, error);
  }
  if (error) {
    return MakeError(
        NetErrc::kNotSent,
        "cannot listen on " + endpoint.ToText() + ": " + error.message());
  }
  return boost::outcome_v2::success();
}

}  // namespace jackdawrack
