#include "daemon/gateway_daemon.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fstream>
#include <sstream>

#include "core/control_signals.h"
#include "core/event.h"
#include "core/metrics.h"
#include "core/run_context.h"
#include "exchange/peer_exchange.h"
#include "file_mark.h"
#include "gateway/gateway.h"
#include "gateway/shutdown_schedule.h"
#include "gateway_gauges.h"
#include "gateway_operator_api.h"
#include "gateway_part_settings.h"
#include "net/http_server.h"
#include "platform/store_client.h"
#include "platform/wire_names.h"
#include "published_updates.h"
#include "routing/local_health.h"
#include "speed_probe.h"

namespace jackdawrack {
namespace {

constexpr Milliseconds kHousekeepingPeriod{100};

/// Housekeeping turns between two looks at the settings file.
constexpr unsigned kSettingsCheckTurns = 20;

/// Time for which connections wait to be accepted while nothing published is
/// known; a caller gives a request up that is not read within a second.
constexpr Milliseconds kLongestAcceptDelay{600};

constexpr Milliseconds kStopPoll{20};

constexpr unsigned kStatusNotReady = 503;
constexpr unsigned kStatusNotFound = 404;

}  // namespace

class GatewayDaemon::Impl final {
 public:
  Impl(GatewayFileSettings settings, std::string settings_path)
      : m_settings(std::move(settings)),
        m_settings_path(std::move(settings_path)),
        m_settings_mark(FileMark::Of(m_settings_path)),
        m_context(1),
        m_store(m_context, m_settings.m_store),
        m_gateway(m_context,
                  MakeGatewaySettings(m_settings),
                  m_state,
                  m_metrics),
        m_exchange(m_context,
                   MakeExchangeSettings(m_settings),
                   MakeExchangeCallbacks()),
        m_updates(m_context,
                  m_store,
                  m_state,
                  MakePublishedUpdatesSettings(m_settings),
                  MakeUpdatesPeers()),
        m_readiness(m_context,
                    MakeServerSettings(m_settings.m_readiness),
                    [this](const HttpRequest& request,
                           const HttpServer::ReplyCallback& reply) {
                      reply(AnswerReadiness(request));
                    }),
        m_operator_api(MakeOperatorSources()),
        m_operators(m_context,
                    MakeServerSettings(m_settings.m_operators),
                    [this](const HttpRequest& request,
                           const HttpServer::ReplyCallback& reply) {
                      reply(m_operator_api.Handle(request));
                    }),
        m_signals(m_context, SIGTERM, SIGINT, SIGHUP),
        m_housekeeping(m_context),
        m_stop_timer(m_context) {}

  NetResult<void> Start() {
    m_state.OnChange([this] { OnPublished(); });
    NetResult<void> started = m_readiness.Start();
    if (started) {
      started = m_operators.Start();
    }
    if (started) {
      started = m_gateway.Start();
    }
    if (started) {
      started = m_exchange.Start();
    }
    if (!started) {
      return started;
    }
    m_updates.Start();
    WaitForSignal();
    UnblockControlSignals();
    ScheduleHousekeeping();
    LogEvent(EventId::kProcessStarted, "instance={} domain={} callers={}",
             m_settings.m_id.Text(), m_settings.m_domain.Text(),
             m_settings.m_callers.ToText());
    return boost::outcome_v2::success();
  }

  void Run() {
    RunContext(m_context);
    LogEvent(EventId::kProcessStopped, "running={}",
             m_gateway.CallerConnections());
    FlushEvents();
  }

 private:
  PeerExchangeCallbacks MakeExchangeCallbacks() {
    PeerExchangeCallbacks callbacks;
    callbacks.m_revision = [this] { return m_updates.Revision(); };
    callbacks.m_needs_snapshot = [this] { return m_updates.IsStoreLost(); };
    callbacks.m_make_snapshot = [this] { return m_updates.MakeSnapshot(); };
    callbacks.m_on_snapshot = [this](const PublishedSnapshot& snapshot) {
      m_updates.OfferSnapshot(snapshot);
    };
    callbacks.m_on_exchange = [this](std::uint64_t revision) {
      m_updates.OnExchange(revision);
    };
    callbacks.m_on_update_poll = [this](
                                     const HttpRequest& request,
                                     const HttpServer::ReplyCallback& reply) {
      m_updates.HandlePoll(request, reply);
    };
    callbacks.m_on_instance_counts = [this](auto instances) {
      TakeFleet(std::move(instances));
    };
    return callbacks;
  }

  PublishedUpdatesPeers MakeUpdatesPeers() {
    PublishedUpdatesPeers peers;
    peers.m_local_instances = [this] { return m_exchange.LocalInstances(); };
    peers.m_has_discovered_peers = [this] {
      return m_exchange.HasDiscoveredPeers();
    };
    peers.m_merge_entries = [this](const std::vector<PeerEntry>& entries) {
      m_exchange.MergeEntries(entries);
    };
    return peers;
  }

  void TakeFleet(std::map<FailureDomain, std::size_t> instances) {
    if (instances == m_instances) {
      return;
    }
    m_instances = instances;
    LogEvent(EventId::kFleetChanged, "instances={} domains={}",
             CountInstances(), m_instances.size());
    m_gateway.SetFleet(std::move(instances));
  }

  void OnPublished() {
    m_gateway.ApplyPublishedState();
    if (m_state.IsComplete()) {
      m_gateway.BeginAccepting();
    }
    const bool is_ready = m_state.IsComplete() && !m_is_stopping;
    if (is_ready != m_is_ready) {
      m_is_ready = is_ready;
      LogEvent(EventId::kReadinessChanged, "ready={} version={} replicas={}",
               is_ready, m_state.Table() ? m_state.Table()->Version() : 0,
               m_state.Directory().Size());
    }
  }

  [[nodiscard]] HttpReply AnswerReadiness(const HttpRequest& request) const {
    HttpReply reply;
    if (request.m_target != platform::kReadinessPath) {
      reply.m_status = kStatusNotFound;
    } else if (!m_is_ready || m_is_stopping || m_local_health.IsSlow()) {
      reply.m_status = kStatusNotReady;
    }
    return reply;
  }

  GatewayOperatorSources MakeOperatorSources() {
    GatewayOperatorSources sources;
    sources.m_status = [this] { return Status(); };
    sources.m_metrics = [this] { return MetricsText(); };
    sources.m_explain = [this](const std::string& request) {
      return m_gateway.Explain(request);
    };
    return sources;
  }

  [[nodiscard]] GatewayStatus Status() const {
    GatewayStatus status;
    status.m_instance = m_settings.m_id.Text();
    status.m_failure_domain = m_settings.m_domain.Text();
    status.m_is_ready = m_is_ready;
    status.m_is_stopping = m_is_stopping;
    status.m_config_version =
        m_state.Table() == nullptr ? 0 : m_state.Table()->Version();
    status.m_replicas = m_state.Directory().Size();
    status.m_known_instances = CountInstances();
    status.m_store_age = std::chrono::duration_cast<Milliseconds>(
        BootClock().Now() - m_updates.ConfirmedAt());
    status.m_is_store_lost = m_updates.IsStoreLost();
    return status;
  }

  std::string MetricsText() {
    std::string text = m_metrics.ToText() + ToMetricsText(Gauges());
    m_gateway.WriteMetrics(text);
    return text;
  }

  [[nodiscard]] GatewayGauges Gauges() const {
    GatewayGauges gauges;
    gauges.m_status = Status();
    gauges.m_store_calls = m_store.CallCount();
    gauges.m_local_slowness = m_local_health.Slowness();
    gauges.m_is_store_reader = m_updates.Role() == StoreRole::kReader;
    gauges.m_waiting_followers = m_updates.WaitingFollowers();
    gauges.m_caller_connections = m_gateway.CallerConnections();
    gauges.m_upstream_connections = m_gateway.UpstreamConnections();
    return gauges;
  }

  [[nodiscard]] std::size_t CountInstances() const {
    std::size_t total = 0;
    for (const auto& [domain, count] : m_instances) {
      total += count;
    }
    return total;
  }

  void WaitForSignal() {
    m_signals.async_wait([this](boost::system::error_code error, int signal) {
      if (error) {
        return;
      }
      WaitForSignal();
      if (signal == SIGHUP) {
        ReloadSettings();
      } else if (!m_is_stopping) {
        BeginStop();
      }
    });
  }

  // Takes the settings file; what is in force stays on any problem.
  void ReloadSettings() {
    std::ifstream stream(m_settings_path);
    std::ostringstream text;
    text << stream.rdbuf();
    m_settings_mark = FileMark::Of(m_settings_path);
    std::vector<IniProblem> problems;
    const auto settings =
        GatewayFileSettings::Parse(m_settings_path, text.str(), problems);
    if (!stream || !problems.empty()) {
      LogEvent(EventId::kSettingsRefused, "kept=previous problems=\"{}\"",
               JoinProblems(problems));
      return;
    }
    TakeSettings(settings);
  }

  void TakeSettings(const GatewayFileSettings& settings) {
    const bool has_changed = settings != m_settings;
    m_settings.ApplyReloadable(settings);
    m_exchange.SetSeeds(m_settings.m_seeds);
    m_gateway.SetRetryBudget(m_settings.m_retry_budget.m_ratio,
                             m_settings.m_retry_budget.m_slack);
    m_gateway.SetLogSample(m_settings.m_log_sample);
    ConfigureEventOutput(
        {.m_is_buffered = true,
         .m_max_lines_per_second = m_settings.m_log_lines_per_second});
    LogEvent(EventId::kSettingsReloaded, "changed={} at_next_start=\"{}\"",
             has_changed,
             fmt::join(m_settings.KeysRequiringRestart(settings), ", "));
  }

  void ScheduleHousekeeping() {
    m_housekeeping.expires_after(kHousekeepingPeriod);
    m_housekeeping.async_wait([this](boost::system::error_code error) {
      if (!error) {
        ScheduleHousekeeping();
        KeepHouse();
      }
    });
  }

  void KeepHouse() {
    if (BootClock().Now() - m_started >= kLongestAcceptDelay) {
      m_gateway.BeginAccepting();
    }
    m_state.DropExpired(BootClock().Now());
    CheckSpeed();
    if (++m_turn % kSettingsCheckTurns == 0 &&
        FileMark::Of(m_settings_path) != m_settings_mark) {
      ReloadSettings();
    }
  }

  // Measures the speed of this instance. A slow one leaves the rotation, as its
  // callers would wait for the processor.
  void CheckSpeed() {
    const bool was_slow = m_local_health.IsSlow();
    m_local_health.Record(m_speed_probe.Measure());
    if (m_local_health.IsSlow() != was_slow) {
      LogEvent(EventId::kLocalSlowness, "slow={} factor={:.1f}",
               m_local_health.IsSlow(), m_local_health.Slowness());
      m_gateway.PauseKeepAlive(m_local_health.IsSlow());
    }
  }

  void BeginStop() {
    m_is_stopping = true;
    m_shutdown.emplace(BootClock().Now(), m_settings.m_shutdown_grace_period);
    LogEvent(EventId::kProcessStopping, "connections={}",
             m_gateway.CallerConnections());
    m_gateway.EndKeepAlive();
    m_exchange.AnnounceLeaving();
    m_updates.Stop();
    ContinueStop();
  }

  void ContinueStop() {
    const TimePoint now = BootClock().Now();
    if (now >= m_shutdown->StopAcceptingAt()) {
      m_gateway.StopAccepting(m_shutdown->ResponsesDueAt());
      m_gateway.CloseIdle();
      if (now >= m_shutdown->ResponsesDueAt()) {
        m_gateway.FinishRequests();
      }
      if (m_gateway.CallerConnections() == 0 || now >= m_shutdown->ExitAt()) {
        m_context.stop();
        return;
      }
    }
    m_stop_timer.expires_after(kStopPoll);
    m_stop_timer.async_wait([this](boost::system::error_code error) {
      if (!error) {
        ContinueStop();
      }
    });
  }

  GatewayFileSettings m_settings;
  const std::string m_settings_path;
  FileMark m_settings_mark;
  boost::asio::io_context m_context;
  MetricsRegistry m_metrics;
  PublishedState m_state;
  platform::StoreClient m_store;
  Gateway m_gateway;
  PeerExchange m_exchange;
  PublishedUpdates m_updates;
  HttpServer m_readiness;
  GatewayOperatorApi m_operator_api;
  HttpServer m_operators;
  boost::asio::signal_set m_signals;
  boost::asio::steady_timer m_housekeeping;
  boost::asio::steady_timer m_stop_timer;
  std::map<FailureDomain, std::size_t> m_instances;
  LocalHealth m_local_health;
  SpeedProbe m_speed_probe;
  unsigned m_turn = 0;
  bool m_is_ready = false;
  bool m_is_stopping = false;
  const TimePoint m_started = BootClock().Now();
  std::optional<ShutdownSchedule> m_shutdown;
};

GatewayDaemon::GatewayDaemon(GatewayFileSettings settings,
                             std::string settings_path)
    : m_impl(std::make_unique<Impl>(std::move(settings),
                                    std::move(settings_path))) {}

GatewayDaemon::~GatewayDaemon() = default;

NetResult<void> GatewayDaemon::Start() {
  return m_impl->Start();
}

void GatewayDaemon::RunUntilSignal() {
  m_impl->Run();
}

}  // namespace jackdawrack
