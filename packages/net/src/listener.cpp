#include "net/listener.h"

#include <csignal>
#include <thread>

#include "core/clock.h"
#include "core/event.h"
#include "net/tcp_endpoint.h"

namespace jackdawrack {
namespace {

using Acceptor = boost::asio::ip::tcp::acceptor;

/// Length of the listen backlog. It bounds the connections that can wait while
/// the process accepts none; a pause of several seconds can still overflow it.
constexpr int kListenBacklog = 1024;

/// Longest wait for an address that is taken, by a process that still ends or
/// by an outgoing connection.
constexpr Milliseconds kMaxAddressWait{5'000};

constexpr Milliseconds kAddressPoll{50};

// True if a signal to stop is held back until its handler runs.
bool IsStopPending() {
  sigset_t pending;
  sigemptyset(&pending);
  sigpending(&pending);
  return sigismember(&pending, SIGTERM) == 1 ||
         sigismember(&pending, SIGINT) == 1;
}

boost::system::error_code TryOpen(Acceptor& acceptor,
                                  const Acceptor::endpoint_type& address) {
  boost::system::error_code error;
  acceptor.open(address.protocol(), error);
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
    boost::system::error_code ignored;
    acceptor.close(ignored);
  }
  return error;
}

}  // namespace

NetResult<void> OpenListener(Acceptor& acceptor, const Endpoint& endpoint) {
  boost::system::error_code error;
  const auto address = ToTcpEndpoint(endpoint, error);
  if (!error) {
    error = TryOpen(acceptor, address);
  }
  if (error == boost::asio::error::address_in_use) {
    LogEvent(EventId::kAddressTaken, "address={} wait_ms={}", endpoint.ToText(),
             kMaxAddressWait.count());
  }
  const TimePoint give_up_at = SteadyClock().Now() + kMaxAddressWait;
  while (error == boost::asio::error::address_in_use && !IsStopPending() &&
         SteadyClock().Now() < give_up_at) {
    std::this_thread::sleep_for(kAddressPoll);
    error = TryOpen(acceptor, address);
  }
  if (error) {
    return MakeError(
        NetErrc::kNotSent,
        "cannot listen on " + endpoint.ToText() + ": " + error.message());
  }
  return boost::outcome_v2::success();
}

}  // namespace jackdawrack
