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
        m_platform(context, settings.m_platform),
        m_policy(MakeControlSettings(settings), SteadyClock().Now()),
        m_status(std::make_shared<const ControlStatus>()),
        m_current_at(TimePoint{}),
        m_last_exchange(SteadyClock().Now()) {}

  void Start() {
    asio::post(m_strand, [self = shared_from_this()] { self->OnTick(); });
  }

  void Stop() {
    asio::post(m_strand, [self = shared_from_this()] {
      self->m_stopped = true;
      self->m_timer.cancel();
    });
  }

  void OnControl(Hello caller,
                 std::string request,
                 PeerService::ControlSink sink) {
    asio::post(m_strand,
               [self = shared_from_this(), caller = std::move(caller),
                request = std::move(request), sink = std::move(sink)] {
                 self->Answer(caller, request, sink);
               });
  }

  void AnnounceLeaving() {
    asio::post(m_strand, [self = shared_from_this()] {
      LogEvent(EventId::kLeavingAnnounced, "peers={}",
               self->m_policy.Members().Instances().size());
      self->m_policy.Leave(SteadyClock().Now());
      self->CarryOut();
    });
  }

  [[nodiscard]] bool IsSynced() const { return m_joined; }

  [[nodiscard]] Milliseconds Age() const {
    return std::chrono::duration_cast<Milliseconds>(SteadyClock().Now() -
                                                    m_current_at.load());
  }

  [[nodiscard]] Milliseconds SinceExchange() const {
    return std::chrono::duration_cast<Milliseconds>(SteadyClock().Now() -
                                                    m_last_exchange.load());
  }

  [[nodiscard]] std::shared_ptr<const ControlStatus> Status() const {
    return m_status.load();
  }

 private:
  void OnTick() {
    if (m_stopped) {
      return;
    }
    m_policy.OnTick(SteadyClock().Now());
    CarryOut();
    PublishStatus();
    m_timer.expires_after(kControlTickInterval);
    m_timer.async_wait([self = shared_from_this()](auto error) {
      if (!error) {
        self->OnTick();
      }
    });
  }

  void Answer(const Hello& caller,
              const std::string& request,
              const PeerService::ControlSink& sink) {
    m_metrics.m_calls_received.Add();
    m_metrics.m_bytes_received.Add(request.size() + kControlFrameBytes);
    std::string reply = m_server.Handle(
        request, [&](const ControlMessage& message) -> ControlMessage {
          NoteExchange();
          return m_policy.OnRequest(caller.m_instance, caller.m_domain, message,
                                    SteadyClock().Now());
        });
    m_metrics.m_bytes_sent.Add(reply.size() + kControlFrameBytes);
    sink(std::move(reply));
    CarryOut();
  }

  // Executes the pending decisions of the policy.
  void CarryOut() {
    ControlDecisions decisions = m_policy.TakeDecisions();
    if (decisions.m_paused_for.count() > 0) {
      LogEvent(EventId::kProcessPaused, "ms={}",
               decisions.m_paused_for.count());
    }
    for (const ConfigMergeReport& news : decisions.m_merge_reports) {
      LogConfigNews(news);
      if (news.m_result == ConfigMergeResult::kApplied) {
        m_metrics.m_values_applied.Add();
      }
    }
    if (decisions.m_is_view_changed) {
      const auto previous = m_holder.Get();
      m_holder.Set(std::make_shared<const FleetView>(m_policy.MakeFleetState(),
                                                     *previous));
      m_status_changed = true;
    }
    for (const OutgoingControlCall& send : decisions.m_outgoing_calls) {
      Call(send);
    }
    m_joined = m_policy.IsJoined();
    if (const auto current_at = m_policy.ConfigConfirmedAt()) {
      m_current_at = *current_at;
    }
    LogWatching();
    ReadPlatform();
  }

  void Call(const OutgoingControlCall& send) {
    std::string request = EncodeControlRequest(send.m_message);
    m_metrics.m_calls_sent.Add();
    m_metrics.m_bytes_sent.Add(request.size() + kControlFrameBytes);
    m_router.Call(
        send.m_target, std::move(request),
        [self = shared_from_this(), token = send.m_token](std::string text) {
          asio::post(self->m_strand, [self, token, text = std::move(text)] {
            self->OnReply(token, text);
          });
        });
  }

  void OnReply(std::uint64_t token, const std::string& text) {
    const auto reply = DecodeControlReply(text);
    if (reply) {
      m_metrics.m_bytes_received.Add(text.size() + kControlFrameBytes);
      NoteExchange();
    } else {
      m_metrics.m_calls_failed.Add();
    }
    m_policy.OnReply(token, reply, SteadyClock().Now());
    CarryOut();
  }

  void NoteExchange() {
    const TimePoint now = SteadyClock().Now();
    m_metrics.m_exchange_gap.Record(now - m_last_exchange.load());
    m_last_exchange = now;
  }

  void ReadPlatform() {
    if (m_stopped) {
      return;
    }
    const auto read = m_policy.NextConfigServiceRead(SteadyClock().Now());
    if (!read) {
      return;
    }
    m_metrics.m_platform_calls.Add();
    m_platform.Watch(read->m_after_revision, read->m_max_wait,
                     [self = shared_from_this()](
                         ConfigServiceResult<ConfigServiceChanges> changes) {
                       asio::post(self->m_strand,
                                  [self, changes = std::move(changes)] {
                                    self->OnPlatform(changes);
                                  });
                     });
  }

  void OnPlatform(const ConfigServiceResult<ConfigServiceChanges>& changes) {
    const TimePoint now = SteadyClock().Now();
    const std::uint64_t bytes = m_platform.BytesReceived();
    m_metrics.m_platform_bytes.Add(bytes -
                                   std::exchange(m_platform_bytes, bytes));
    if (!changes) {
      m_metrics.m_platform_failures.Add();
      if (!m_platform_lost) {
        LogEvent(EventId::kPlatformUnreachable, "error={}",
                 changes.error().m_message);
      }
      m_platform_lost = true;
      m_policy.OnConfigServiceReadFailed(now);
    } else {
      const ConfigServiceChanges& found = changes.assume_value();
      if (m_platform_lost) {
        LogEvent(EventId::kPlatformReached, "revision={}", found.m_revision);
      }
      if (found.m_revision < m_platform_revision) {
        LogEvent(EventId::kPlatformWentBack, "revision={} before={}",
                 found.m_revision, m_platform_revision);
      }
      m_platform_lost = false;
      m_platform_revision = found.m_revision;
      m_policy.OnConfigServiceRead(found.m_revision, found.m_values, now);
    }
    CarryOut();
  }

  void LogWatching() {
    if (m_policy.IsWatcher() != m_was_watcher) {
      m_was_watcher = m_policy.IsWatcher();
      m_status_changed = true;
      LogEvent(EventId::kWatcherChanged, "watches={}", m_was_watcher);
    }
  }

  void PublishStatus() {
    const TimePoint now = SteadyClock().Now();
    if (now < m_status_due) {
      return;
    }
    m_status_due = now + kStatusInterval;
    const std::uint64_t marks = m_policy.Members().StatusVersion();
    if (!m_status_changed && marks == m_mark_version &&
        m_status.load()->m_is_joined == m_joined) {
      return;
    }
    m_status_changed = false;
    m_mark_version = marks;
    auto status = std::make_shared<ControlStatus>();
    status->m_is_watcher = m_was_watcher;
    status->m_is_joined = m_joined;
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
  ConfigServiceClient m_platform;
  ControlServer m_server;
  ControlPolicy m_policy;
  std::uint64_t m_platform_bytes = 0;
  bool m_stopped = false;

  // State as of the last log event, so that only changes are logged
  bool m_platform_lost = false;
  std::uint64_t m_platform_revision = 0;
  bool m_was_watcher = false;

  // Decide when the next status is published
  std::uint64_t m_mark_version = 0;
  bool m_status_changed = true;
  TimePoint m_status_due{};

  // Read by other threads
  std::atomic<std::shared_ptr<const ControlStatus>> m_status;
  std::atomic<bool> m_joined{false};
  std::atomic<TimePoint> m_current_at;
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

void ControlService::OnControl(Hello caller,
                               std::string request,
                               PeerService::ControlSink sink) {
  m_impl->OnControl(std::move(caller), std::move(request), std::move(sink));
}

void ControlService::AnnounceLeaving() {
  m_impl->AnnounceLeaving();
}

bool ControlService::IsSynced() const {
  return m_impl->IsSynced();
}

Milliseconds ControlService::Age() const {
  return m_impl->Age();
}

Milliseconds ControlService::SinceExchange() const {
  return m_impl->SinceExchange();
}

std::shared_ptr<const ControlStatus> ControlService::Status() const {
  return m_impl->Status();
}

}  // namespace jackdawrack
