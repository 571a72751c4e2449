#include "fleet/control_service.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <utility>

#include "config_events.h"
#include "config_service/config_service_client.h"
#include "control_metrics.h"
#include "core/event.h"
#include "core/random.h"
#include "core/run_logged.h"
#include "fleet/control_codec.h"
#include "fleet/control_server.h"
#include "policy/control_policy.h"

namespace jackdawrack {
namespace {

namespace asio = boost::asio;

/// Minimum time between two published statuses. Building one is expensive
/// because it lists every configuration value.
constexpr Milliseconds kStatusInterval{500};

ControlSettings MakeControlSettings(const InstanceSettings& settings) {
  return ControlSettings{settings.m_id, settings.m_domain, RandomEpoch()};
}

}  // namespace

class ControlService::Impl final : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& context,
       const InstanceSettings& settings,
       PeerRouter& router,
       FleetViewHolder& holder,
       MetricsRegistry& metrics)
      : m_router(router),
        m_holder(holder),
        m_metrics(metrics),
        m_strand(asio::make_strand(context)),
        m_timer(m_strand),
        m_config_service(context, settings.m_platform),
        m_policy(MakeControlSettings(settings), SteadyClock().Now()),
        m_status(std::make_shared<const ControlStatus>()),
        m_config_confirmed_at(TimePoint{}),
        m_last_exchange(SteadyClock().Now()) {}

  void Start() {
    asio::post(m_strand, [self = shared_from_this()] { self->OnTick(); });
  }

  void Stop() {
    asio::post(m_strand, [self = shared_from_this()] {
      self->m_is_stopped = true;
      self->m_timer.cancel();
    });
  }

  void HandleControlRequest(Hello caller,
                            std::string request,
                            PeerService::ControlSink sink) {
    asio::post(m_strand,
               [self = shared_from_this(), caller = std::move(caller),
                request = std::move(request), sink = std::move(sink)] {
                 self->AnswerRequest(caller, request, sink);
               });
  }

  void AnnounceLeaving() {
    asio::post(m_strand, [self = shared_from_this()] {
      LogEvent(EventId::kLeavingAnnounced, "peers={}",
               self->m_policy.Members().Instances().size());
      self->m_policy.Leave(SteadyClock().Now());
      self->ApplyDecisions();
    });
  }

  [[nodiscard]] bool IsSynced() const { return m_is_joined; }

  [[nodiscard]] Milliseconds ConfigAge() const {
    return std::chrono::duration_cast<Milliseconds>(
        SteadyClock().Now() - m_config_confirmed_at.load());
  }

  [[nodiscard]] Milliseconds TimeSinceExchange() const {
    return std::chrono::duration_cast<Milliseconds>(SteadyClock().Now() -
                                                    m_last_exchange.load());
  }

  [[nodiscard]] std::shared_ptr<const ControlStatus> Status() const {
    return m_status.load();
  }

 private:
  void OnTick() {
    if (m_is_stopped) {
      return;
    }
    RunLogged("control tick", [this] {
      m_policy.OnTick(SteadyClock().Now());
      ApplyDecisions();
      PublishStatus();
    });
    m_timer.expires_after(kControlTickInterval);
    m_timer.async_wait([self = shared_from_this()](auto error) {
      if (!error) {
        self->OnTick();
      }
    });
  }

  void AnswerRequest(const Hello& caller,
                     const std::string& request,
                     const PeerService::ControlSink& sink) {
    m_metrics.m_calls_received.Add();
    m_metrics.m_bytes_received.Add(request.size() + kControlFrameBytes);
    std::string reply = m_server.Handle(
        request, [&](const ControlMessage& message) -> ControlMessage {
          RecordExchange();
          return m_policy.OnRequest(caller.m_instance, caller.m_domain, message,
                                    SteadyClock().Now());
        });
    m_metrics.m_bytes_sent.Add(reply.size() + kControlFrameBytes);
    sink(std::move(reply));
    ApplyDecisions();
  }

  // Executes the pending decisions of the policy.
  void ApplyDecisions() {
    ControlDecisions decisions = m_policy.TakeDecisions();
    if (decisions.m_paused_for.count() > 0) {
      LogEvent(EventId::kProcessPaused, "ms={}",
               decisions.m_paused_for.count());
    }
    for (const ConfigMergeReport& report : decisions.m_merge_reports) {
      LogConfigMerge(report);
      if (report.m_result == ConfigMergeResult::kApplied) {
        m_metrics.m_values_applied.Add();
      }
    }
    if (decisions.m_is_view_changed) {
      const auto previous = m_holder.Get();
      m_holder.Set(std::make_shared<const FleetView>(m_policy.MakeFleetState(),
                                                     *previous));
      m_is_status_changed = true;
    }
    for (const OutgoingControlCall& call : decisions.m_outgoing_calls) {
      SendCall(call);
    }
    m_is_joined = m_policy.IsJoined();
    if (const auto confirmed_at = m_policy.ConfigConfirmedAt()) {
      m_config_confirmed_at = *confirmed_at;
    }
    LogWatcherChange();
    StartConfigServiceRead();
  }

  void SendCall(const OutgoingControlCall& call) {
    std::string request = EncodeControlRequest(call.m_message);
    m_metrics.m_calls_sent.Add();
    m_metrics.m_bytes_sent.Add(request.size() + kControlFrameBytes);
    m_router.Call(
        call.m_target, std::move(request),
        [self = shared_from_this(), token = call.m_token](std::string text) {
          asio::post(self->m_strand, [self, token, text = std::move(text)] {
            self->OnReply(token, text);
          });
        });
  }

  void OnReply(std::uint64_t token, const std::string& text) {
    const auto reply = DecodeControlReply(text);
    if (reply) {
      m_metrics.m_bytes_received.Add(text.size() + kControlFrameBytes);
      RecordExchange();
    } else {
      m_metrics.m_calls_failed.Add();
    }
    m_policy.OnReply(token, reply, SteadyClock().Now());
    ApplyDecisions();
  }

  void RecordExchange() {
    const TimePoint now = SteadyClock().Now();
    m_metrics.m_exchange_gap.Record(now - m_last_exchange.load());
    m_last_exchange = now;
  }

  void StartConfigServiceRead() {
    if (m_is_stopped) {
      return;
    }
    const auto read = m_policy.NextConfigServiceRead(SteadyClock().Now());
    if (!read) {
      return;
    }
    m_metrics.m_config_service_calls.Add();
    m_config_service.Watch(
        read->m_after_revision, read->m_max_wait,
        [self = shared_from_this()](
            ConfigServiceResult<ConfigServiceChanges> changes) {
          asio::post(self->m_strand, [self, changes = std::move(changes)] {
            self->OnConfigServiceRead(changes);
          });
        });
  }

  void OnConfigServiceRead(
      const ConfigServiceResult<ConfigServiceChanges>& changes) {
    const TimePoint now = SteadyClock().Now();
    const std::uint64_t bytes = m_config_service.BytesReceived();
    m_metrics.m_config_service_bytes.Add(
        bytes - std::exchange(m_config_service_bytes, bytes));
    if (!changes) {
      m_metrics.m_config_service_failures.Add();
      if (!m_is_config_service_unreachable) {
        LogEvent(EventId::kPlatformUnreachable, "error={}",
                 changes.error().m_message);
      }
      m_is_config_service_unreachable = true;
      m_policy.OnConfigServiceReadFailed(now);
    } else {
      const ConfigServiceChanges& read = changes.assume_value();
      if (m_is_config_service_unreachable) {
        LogEvent(EventId::kPlatformReached, "revision={}", read.m_revision);
      }
      if (read.m_revision < m_config_service_revision) {
        LogEvent(EventId::kPlatformWentBack, "revision={} before={}",
                 read.m_revision, m_config_service_revision);
      }
      m_is_config_service_unreachable = false;
      m_config_service_revision = read.m_revision;
      m_policy.OnConfigServiceRead(read.m_revision, read.m_values, now);
    }
    ApplyDecisions();
  }

  void LogWatcherChange() {
    if (m_policy.IsWatcher() != m_is_watcher) {
      m_is_watcher = m_policy.IsWatcher();
      m_is_status_changed = true;
      LogEvent(EventId::kWatcherChanged, "watches={}", m_is_watcher);
    }
  }

  void PublishStatus() {
    const TimePoint now = SteadyClock().Now();
    if (now < m_next_status_at) {
      return;
    }
    m_next_status_at = now + kStatusInterval;
    const std::uint64_t member_status_version =
        m_policy.Members().StatusVersion();
    if (!m_is_status_changed &&
        member_status_version == m_published_member_status_version &&
        m_status.load()->m_is_joined == m_is_joined) {
      return;
    }
    m_is_status_changed = false;
    m_published_member_status_version = member_status_version;
    auto status = std::make_shared<ControlStatus>();
    status->m_is_watcher = m_is_watcher;
    status->m_is_joined = m_is_joined;
    status->m_root_hash = m_policy.Store().RootHash();
    for (ValueDigest& digest : m_policy.Store().Digests()) {
      const PublishedValue* value = m_policy.Store().Find(digest.m_name);
      const bool has_conflict = m_policy.Store().HasConflict(digest.m_name);
      status->m_values.push_back(
          ValueStatus{std::move(digest), value->m_revision, value->m_generation,
                      has_conflict});
    }
    for (const Instance& instance : m_policy.Members().Instances()) {
      status->m_members.push_back(m_policy.Members().StatusOf(instance.m_id));
    }
    m_status.store(std::move(status));
  }

  PeerRouter& m_router;
  FleetViewHolder& m_holder;
  ControlMetrics m_metrics;
  asio::strand<asio::io_context::executor_type> m_strand;
  asio::steady_timer m_timer;
  ConfigServiceClient m_config_service;
  ControlServer m_server;
  ControlPolicy m_policy;
  std::uint64_t m_config_service_bytes = 0;
  bool m_is_stopped = false;

  // State as of the last log event, so that only changes are logged
  bool m_is_config_service_unreachable = false;
  std::uint64_t m_config_service_revision = 0;
  bool m_is_watcher = false;

  // Decide when the next status is published
  std::uint64_t m_published_member_status_version = 0;
  bool m_is_status_changed = true;
  TimePoint m_next_status_at{};

  // Read by other threads
  std::atomic<std::shared_ptr<const ControlStatus>> m_status;
  std::atomic<bool> m_is_joined{false};
  std::atomic<TimePoint> m_config_confirmed_at;
  std::atomic<TimePoint> m_last_exchange;
};

ControlService::ControlService(asio::io_context& context,
                               InstanceSettings settings,
                               PeerRouter& router,
                               FleetViewHolder& holder,
                               MetricsRegistry& metrics)
    : m_impl(
          std::make_shared<Impl>(context, settings, router, holder, metrics)) {}

ControlService::~ControlService() {
  Stop();
}

void ControlService::Start() {
  m_impl->Start();
}

void ControlService::Stop() {
  m_impl->Stop();
}

void ControlService::HandleControlRequest(Hello caller,
                                          std::string request,
                                          PeerService::ControlSink sink) {
  m_impl->HandleControlRequest(std::move(caller), std::move(request),
                               std::move(sink));
}

void ControlService::AnnounceLeaving() {
  m_impl->AnnounceLeaving();
}

bool ControlService::IsSynced() const {
  return m_impl->IsSynced();
}

Milliseconds ControlService::ConfigAge() const {
  return m_impl->ConfigAge();
}

Milliseconds ControlService::TimeSinceExchange() const {
  return m_impl->TimeSinceExchange();
}

std::shared_ptr<const ControlStatus> ControlService::Status() const {
  return m_impl->Status();
}

}  // namespace jackdawrack
