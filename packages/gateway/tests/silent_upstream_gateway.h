#pragma once

#include <boost/asio/connect.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "core/boot_clock.h"
#include "core/run_context.h"
#include "failing_allocations.h"
#include "gateway/gateway.h"

namespace jackdawrack {
/// A gateway with two replicas of one service, which take connections and never
/// answer, and one caller that keeps its connection.
class SilentUpstreamGateway final {
 public:
  static constexpr Milliseconds kRouteTimeout{60};

  /// A request is answered this long after its timeout at the latest.
  static constexpr Milliseconds kAnswerMargin{500};

  SilentUpstreamGateway() {
    GatewaySettings settings;
    settings.m_headers.m_request_id = "X-Request-Id";
    settings.m_callers = Endpoint{"127.0.0.1", FreePort()};
    settings.m_retry_budget.m_ratio = 10;
    m_gateway.emplace(m_context, settings, m_state, m_metrics);
    m_state.Apply(
        {MakeConfig(), MakeReplica("r1", m_first), MakeReplica("r2", m_second)},
        BootClock().Now());
    REQUIRE(m_gateway->Start());
    m_gateway->BeginAccepting();
    m_gateway->ApplyPublishedState();
    Connect(settings.m_callers);
  }

  /// Sends a request of which one allocation fails; false if the caller still
  /// waits after the request's time. `has_failed` tells whether it has come to
  /// that allocation.
  bool Call(const std::string& target, int failing, bool& has_failed) {
    boost::asio::write(
        *m_caller,
        boost::asio::buffer("GET " + target +
                            " HTTP/1.1\r\nHost: app\r\nX-Request-Id: a\r\n"
                            "X-Deadline-Ms: 5000\r\n\r\n"));
    t_allocations_until_failure = failing;
    const bool is_answered = RunUntilReadable();
    has_failed = t_allocations_until_failure < 0;
    t_allocations_until_failure = -1;
    return is_answered;
  }

  /// Reads the response, or takes a new connection if this one was closed.
  void Read() {
    m_caller->non_blocking(false);
    boost::asio::streambuf response;
    boost::system::error_code error;
    boost::asio::read_until(*m_caller, response, "Content-Length", error);
    m_caller->close();
    Connect(m_endpoint);
  }

 private:
  static boost::asio::ip::tcp::endpoint AnyLoopbackPort() {
    return {boost::asio::ip::address_v4::loopback(), 0};
  }

  static std::uint16_t FreePort() {
    boost::asio::io_context context;
    const boost::asio::ip::tcp::acceptor acceptor(context, AnyLoopbackPort());
    return acceptor.local_endpoint().port();
  }

  static RoutingConfig MakeConfig() {
    RoutingConfig config;
    config.m_version = 1;
    for (const char* name : {"one", "all"}) {
      Route route;
      route.m_name = name;
      route.m_host = "app";
      route.m_prefix = "/" + route.m_name + "/";
      route.m_repeatability = Repeatability::kIdempotent;
      route.m_timeout = kRouteTimeout;
      route.m_target_latency = kRouteTimeout;
      route.m_max_attempts = 2;
      if (route.m_name == "one") {
        route.m_services = {WeightedService{ServiceName("s"), 1}};
      } else {
        route.m_gather.m_shards = {ServiceName("s")};
        route.m_gather.m_max_records = 1;
        route.m_gather.m_min_coverage = 1;
      }
      config.m_routes.push_back(route);
    }
    config.m_services = {ServiceLimits{ServiceName("s"), 1'000}};
    return config;
  }

  static ReplicaRecord MakeReplica(
      const char* id,
      const boost::asio::ip::tcp::acceptor& acceptor) {
    ReplicaRecord record;
    record.m_id = UpstreamId(id);
    record.m_service = ServiceName("s");
    record.m_endpoint = Endpoint{"127.0.0.1", acceptor.local_endpoint().port()};
    record.m_slots = 100;
    return record;
  }

  void Connect(const Endpoint& endpoint) {
    m_endpoint = endpoint;
    m_caller.emplace(m_caller_context);
    m_caller->connect(
        {boost::asio::ip::address_v4::loopback(), endpoint.m_port});
    RunFor(Milliseconds(5));
  }

  void RunFor(Milliseconds time) {
    boost::asio::steady_timer timer(m_context, time);
    timer.async_wait([this](auto) { m_context.stop(); });
    m_context.restart();
    RunContext(m_context);
  }

  bool RunUntilReadable() {
    const TimePoint end = SteadyClock().Now() + kRouteTimeout + kAnswerMargin;
    while (SteadyClock().Now() < end) {
      m_context.restart();
      try {
        m_context.run_for(Milliseconds(1));
      } catch (const std::bad_alloc&) {
        // Logged by `RunContext` in the daemon
        continue;
      }
      char byte = 0;
      boost::system::error_code error;
      m_caller->non_blocking(true);
      m_caller->receive(boost::asio::buffer(&byte, 1),
                        boost::asio::socket_base::message_peek, error);
      if (error != boost::asio::error::would_block) {
        return true;
      }
    }
    return false;
  }

  boost::asio::io_context m_context;
  boost::asio::io_context m_caller_context;
  boost::asio::ip::tcp::acceptor m_first{m_caller_context, AnyLoopbackPort()};
  boost::asio::ip::tcp::acceptor m_second{m_caller_context, AnyLoopbackPort()};
  PublishedState m_state;
  MetricsRegistry m_metrics;
  std::optional<Gateway> m_gateway;
  std::optional<boost::asio::ip::tcp::socket> m_caller;
  Endpoint m_endpoint;
};

}  // namespace jackdawrack
