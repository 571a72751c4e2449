#include "daemon/daemon.h"

#include <boost/asio/signal_set.hpp>
#include <thread>

#include "core/control_signals.h"
#include "core/event.h"
#include "core/metrics.h"
#include "core/random.h"
#include "core/worker_pool.h"
#include "entry/entry_service.h"
#include "fleet/control_service.h"
#include "net/http_server.h"
#include "net/outbound_address.h"
#include "operator_api.h"
#include "owner/owner_service.h"
#include "peer/peer_router.h"
#include "peer/peer_server.h"

namespace jackdawrack {
namespace {

constexpr Milliseconds kDrainPoll{10};

/// Longest time that running requests are waited for; the greatest deadline
/// that a contract can ask for.
constexpr Milliseconds kMaxDrain{60'000};

/// Longest time for which leases are handed over.
constexpr Milliseconds kMaxHandOver{3000};

/// Longest time that idle connections take to close.
constexpr Milliseconds kMaxClose{1000};

/// Longest time that calls of peers are waited for.
constexpr Milliseconds kMaxPeerDrain{5000};

Hello MakeHello(const InstanceSettings& settings) {
  Hello hello;
  hello.m_instance = settings.m_id;
  hello.m_domain = settings.m_domain;
  hello.m_epoch = RandomEpoch();
  return hello;
}

EntrySettings MakeEntrySettings(const InstanceSettings& settings,
                                std::uint64_t epoch) {
  EntrySettings entry;
  entry.m_instance = settings.m_id;
  entry.m_domain = settings.m_domain;
  entry.m_epoch = epoch;
  entry.m_query_policy = settings.m_query_policy;
  if (settings.m_direct_baseline) {
    entry.m_direct_self = Instance{settings.m_id, settings.m_domain,
                                   settings.m_peers, InstanceState::kLive};
  }
  return entry;
}

HttpServerSettings MakeServerSettings(const InstanceSettings& settings,
                                      const Endpoint& endpoint) {
  HttpServerSettings server;
  server.m_endpoint = endpoint;
  server.m_max_body_bytes = settings.m_max_body_bytes;
  return server;
}

}  // namespace

class Daemon::Impl final {
 public:
  explicit Impl(InstanceSettings settings)
      : m_settings(std::move(settings)),
        m_hello(MakeHello(m_settings)),
        m_workers(m_settings.m_worker_threads),
        m_owner(m_workers.Context(),
                LeaseHolderId{m_settings.m_id, m_hello.m_epoch},
                m_settings.m_domain,
                m_holder,
                m_settings.m_query_policy,
                m_metrics),
        m_traffic(m_metrics),
        m_router(m_workers.Context(), m_hello, MakeService(), m_traffic),
        m_control(m_workers.Context(),
                  m_settings,
                  m_router,
                  m_holder,
                  m_metrics),
        m_entry(m_workers.Context(),
                MakeEntrySettings(m_settings, m_hello.m_epoch),
                m_holder,
                m_router,
                m_metrics),
        m_peer_server(m_workers.Context(),
                      m_settings.m_peers,
                      m_hello,
                      MakeService(),
                      m_traffic),
        m_callers(m_workers.Context(),
                  MakeServerSettings(m_settings, m_settings.m_callers),
                  [this](const HttpRequest& request,
                         HttpServer::ReplyCallback reply) {
                    m_entry.Handle(request, std::move(reply));
                  }),
        m_operator_api(m_settings,
                       m_holder,
                       m_metrics,
                       m_control,
                       m_entry,
                       m_owner,
                       m_stopping),
        m_operators(m_workers.Context(),
                    MakeServerSettings(m_settings, m_settings.m_operators),
                    [this](const HttpRequest& request,
                           const HttpServer::ReplyCallback& reply) {
                      reply(m_operator_api.Handle(request));
                    }) {}

  ~Impl() { m_workers.Stop(); }

  NetResult<void> Start() {
    SetOutboundAddress(m_workers.Context(), m_settings.m_outbound_address);
    NetResult<void> started = m_peer_server.Start();
    if (started) {
      started = m_operators.Start();
    }
    if (started) {
      started = m_callers.Start();
    }
    if (!started) {
      return started;
    }
    m_control.Start();
    m_entry.Start();
    m_owner.Start(m_router);
    m_workers.Start();
    LogEvent(EventId::kProcessStarted, "instance={} domain={} callers={}",
             m_settings.m_id.Text(), m_settings.m_domain.Text(),
             m_settings.m_callers.ToText());
    if (m_settings.m_direct_baseline) {
      LogEvent(EventId::kDirectBaseline, "domain={}",
               m_settings.m_domain.Text());
    }
    return boost::outcome_v2::success();
  }

  void RunUntilSignal() {
    boost::asio::io_context signals;
    boost::asio::signal_set set(signals, SIGTERM, SIGINT, SIGHUP);
    WaitForStop(set);
    UnblockControlSignals();
    signals.run();
    StopGracefully();
  }

 private:
  // Ends with the first signal to stop. The settings are read at the start
  // only.
  static void WaitForStop(boost::asio::signal_set& signals) {
    signals.async_wait([&signals](boost::system::error_code error, int signal) {
      if (!error && signal == SIGHUP) {
        WaitForStop(signals);
        LogEvent(EventId::kSettingsRefused,
                 "kept=previous problems=\"read at the start only\"");
      }
    });
  }

  PeerService MakeService() {
    PeerService service;
    service.m_on_sub_query = [this](SubQuery query,
                                    PeerService::SubAnswerSink sink) {
      m_owner.OnSubQuery(std::move(query), std::move(sink));
    };
    service.m_on_cancel = [this](CallId call) { m_owner.OnCancel(call); };
    service.m_on_run_request = [this](RunRequest request,
                                      PeerService::RunAnswerSink sink) {
      m_owner.OnRunRequest(std::move(request), std::move(sink));
    };
    service.m_on_control = [this](Hello caller, std::string request,
                                  PeerService::ControlSink sink) {
      m_control.HandleControlRequest(std::move(caller), std::move(request),
                                     std::move(sink));
    };
    service.m_on_share_request =
        [this](const Hello& caller, const std::vector<ContractShare>& wishes,
               const PeerService::ShareSink& sink) {
          sink(m_entry.Lend(caller.m_instance, wishes));
        };
    service.m_on_lease_call = [this](LeaseCallBody body) {
      return m_owner.OnLeaseCall(std::move(body));
    };
    return service;
  }

  void StopGracefully() {
    LogEvent(EventId::kProcessStopping, "balancer_lag_ms={}",
             m_settings.m_balancer_lag_ms);

    // Fail readiness, hand leases over, and go on serving until the balancer
    // has noticed
    m_stopping = true;
    m_control.AnnounceLeaving();
    m_owner.StartLeaseHandOver();
    m_callers.EndKeepAlive();
    std::this_thread::sleep_for(Milliseconds(m_settings.m_balancer_lag_ms));
    WaitUntil(kMaxHandOver,
              [this] { return m_owner.IsLeaseHandOverComplete(); });

    // Take what waits in the accept queue and finish what runs
    m_callers.StopAccepting();
    WaitUntil(kMaxDrain, [this] {
      return m_callers.IsListenerClosed() &&
             (m_callers.OpenConnections() == 0 || m_callers.IsQuiet());
    });
    m_callers.CloseIdle();
    WaitUntil(kMaxClose, [this] { return m_callers.OpenConnections() == 0; });
    LogEvent(EventId::kStopStage, "callers=closed running={}",
             m_callers.RunningRequests());

    // Answer peers until they have moved off
    m_peer_server.SendGoodbye();
    WaitUntil(kMaxPeerDrain, [this] {
      return m_owner.RunningCount() == 0 &&
             m_peer_server.OpenConnections() == 0;
    });
    LogEvent(EventId::kProcessStopped, "running={} peer_calls={}",
             m_callers.RunningRequests(), m_owner.RunningCount());
  }

  // Polls until `is_done`, at most for `longest`.
  static void WaitUntil(Milliseconds longest,
                        const std::function<bool()>& is_done) {
    const TimePoint give_up = SteadyClock().Now() + longest;
    while (!is_done() && SteadyClock().Now() < give_up) {
      std::this_thread::sleep_for(kDrainPoll);
    }
  }

  const InstanceSettings m_settings;
  const Hello m_hello;
  FleetViewHolder m_holder;
  MetricsRegistry m_metrics;
  std::atomic<bool> m_stopping{false};
  WorkerPool m_workers;
  OwnerService m_owner;
  const PeerTraffic m_traffic;
  PeerRouter m_router;
  ControlService m_control;
  EntryService m_entry;
  PeerServer m_peer_server;
  HttpServer m_callers;
  OperatorApi m_operator_api;
  HttpServer m_operators;
};

Daemon::Daemon(InstanceSettings settings)
    : m_impl(std::make_unique<Impl>(std::move(settings))) {}

Daemon::~Daemon() = default;

NetResult<void> Daemon::Start() {
  return m_impl->Start();
}

void Daemon::RunUntilSignal() {
  m_impl->RunUntilSignal();
}

}  // namespace jackdawrack
