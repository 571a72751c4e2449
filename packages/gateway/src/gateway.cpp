#include "gateway/gateway.h"

#include <boost/asio/steady_timer.hpp>

#include "caller_listener.h"
#include "core/event.h"
#include "replica_metrics.h"
#include "request_log.h"
#include "request_router.h"
#include "routing/route_retention.h"

namespace jackdawrack {
namespace {

/// Period of the sweep that closes overdue connections. Abandoned requests have
/// to end within half a second.
constexpr Milliseconds kSweepPeriod{100};

/// Period in which routes that are no longer in force are looked for.
constexpr std::chrono::seconds kForgetPeriod{10};

/// Minimum idle time before a planned stop closes a connection: longer than a
/// request takes to arrive from the caller, shorter than the loss bound.
constexpr Milliseconds kMinIdleTime{150};

}  // namespace

class Gateway::Impl final {
 public:
  Impl(boost::asio::io_context& context,
       GatewaySettings settings,
       const PublishedState& state,
       MetricsRegistry& metrics)
      : m_settings(std::move(settings)),
        m_state(state),
        m_metrics(metrics),
        m_memory(m_settings.m_max_buffered_bytes),
        m_replicas(context, m_settings, m_memory),
        m_router(GatewayContext{context, m_settings, m_replicas, m_hedge_delays,
                                metrics, m_recent_requests},
                 state),
        m_listener(context, m_settings.m_callers, m_router, m_memory),
        m_sweep_timer(context) {}

  NetResult<void> Start() {
    ScheduleSweep();
    return m_listener.Start();
  }

  void ApplyPublishedState() {
    m_replicas.Update(m_state);
    if (m_state.Table() != nullptr &&
        m_state.Table()->Version() != m_retained_version) {
      m_retained_version = m_state.Table()->Version();
      m_routes.Update(m_state.Table()->Config(), BootClock().Now());
    }
  }

  void ScheduleSweep() {
    m_sweep_timer.expires_after(kSweepPeriod);
    m_sweep_timer.async_wait([this](boost::system::error_code error) {
      if (error) {
        return;
      }
      ScheduleSweep();
      const TimePoint now = BootClock().Now();
      m_replicas.CloseTimedOut(now);
      m_listener.CloseTimedOut(now);
      ForgetRoutes(now);
      FlushEvents();
    });
  }

  void ForgetRoutes(TimePoint now) {
    if (now < m_next_forget_at) {
      return;
    }
    m_next_forget_at = now + kForgetPeriod;
    for (const std::string& name : m_routes.TakeForgotten(now)) {
      m_router.ForgetRoute(name);
      m_hedge_delays.Forget(name);
      m_metrics.Forget(RouteLabel(name));
    }
  }

  GatewaySettings m_settings;
  const PublishedState& m_state;
  MetricsRegistry& m_metrics;
  RouteRetention m_routes;
  /// Version of the routes that `m_routes` was last updated with.
  std::uint64_t m_retained_version = 0;
  TimePoint m_next_forget_at{};
  MemoryBudget m_memory;
  ReplicaGroups m_replicas;
  HedgeDelays m_hedge_delays;
  RecentRequests m_recent_requests;
  RequestRouter m_router;
  CallerListener m_listener;
  boost::asio::steady_timer m_sweep_timer;
};

Gateway::Gateway(boost::asio::io_context& context,
                 GatewaySettings settings,
                 const PublishedState& state,
                 MetricsRegistry& metrics)
    : m_impl(std::make_unique<Impl>(context,
                                    std::move(settings),
                                    state,
                                    metrics)) {}

Gateway::~Gateway() = default;

NetResult<void> Gateway::Start() {
  return m_impl->Start();
}

void Gateway::BeginAccepting() {
  m_impl->m_listener.BeginAccepting();
}

void Gateway::ApplyPublishedState() {
  m_impl->ApplyPublishedState();
}

void Gateway::SetFleet(std::map<FailureDomain, std::size_t> instances) {
  m_impl->m_replicas.SetFleet(std::move(instances));
}

void Gateway::SetRetryBudget(double ratio, double slack) {
  m_impl->m_replicas.SetRepeatBound(ratio, slack);
}

void Gateway::SetLogSample(std::uint64_t one_in) {
  m_impl->m_settings.m_log_sample = one_in;
}

void Gateway::EndKeepAlive() {
  m_impl->m_router.EndKeepAlive();
}

void Gateway::PauseKeepAlive(bool is_paused) {
  m_impl->m_router.PauseKeepAlive(is_paused);
}

void Gateway::StopAccepting(TimePoint responses_due_at) {
  m_impl->m_router.SetResponsesDueAt(responses_due_at);
  m_impl->m_listener.StopAccepting();
}

void Gateway::FinishRequests() {
  m_impl->m_listener.FinishRequests();
}

void Gateway::CloseIdle() {
  m_impl->m_listener.CloseIdle(BootClock().Now(), kMinIdleTime);
}

void Gateway::WriteMetrics(std::string& out) const {
  WriteReplicaMetrics(m_impl->m_replicas, BootClock().Now(), out);
}

std::optional<std::string> Gateway::Explain(
    const std::string& request_id) const {
  const FinishedTrace* trace = m_impl->m_recent_requests.Find(request_id);
  return trace == nullptr ? std::nullopt : std::optional(trace->ToJson());
}

std::size_t Gateway::CallerConnections() const {
  return m_impl->m_listener.ConnectionCount();
}

std::size_t Gateway::UpstreamConnections() const {
  return m_impl->m_replicas.ConnectionCount();
}

}  // namespace jackdawrack
