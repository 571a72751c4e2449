#include "fleet/config_sync.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include "core/event.h"
#include "platform/platform_client.h"
#include "policy/config_store.h"

namespace jackdawrack {
namespace {

namespace asio = boost::asio;

constexpr Milliseconds kWatchWait{10'000};
constexpr Milliseconds kRetryDelay{500};

EventId RefusalEvent(const std::string& name) {
  if (name.compare(0, 9, "contracts") == 0) {
    return EventId::kContractRefused;
  }
  return name == "instances" ? EventId::kInstanceListRefused
                             : EventId::kMapRefused;
}

EventId AppliedEvent(const std::string& name) {
  if (name.compare(0, 9, "contracts") == 0) {
    return EventId::kContractApplied;
  }
  return name == "instances" ? EventId::kInstanceListApplied
                             : EventId::kMapApplied;
}

}  // namespace

class ConfigSync::Impl final : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& context,
       InstanceSettings settings,
       FleetViewHolder& holder)
      : m_settings(std::move(settings)),
        m_holder(holder),
        m_strand(asio::make_strand(context)),
        m_timer(m_strand),
        m_platform(context, m_settings.m_platform) {}

  void Start() {
    asio::post(m_strand, [self = shared_from_this()] { self->Watch(); });
  }

  void Stop() {
    asio::post(m_strand, [self = shared_from_this()] {
      self->m_stopped = true;
      self->m_timer.cancel();
    });
  }

  [[nodiscard]] bool IsSynced() const { return m_synced; }

  [[nodiscard]] Milliseconds Age() const {
    return std::chrono::duration_cast<Milliseconds>(SteadyClock().Now() -
                                                    m_current_at.load());
  }

 private:
  void Watch() {
    if (m_stopped) {
      return;
    }
    // The first read does not wait for a change
    const Milliseconds wait = m_synced ? kWatchWait : Milliseconds(0);
    m_platform.Watch(
        m_revision, wait,
        [self = shared_from_this()](PlatformResult<PlatformChanges> changes) {
          asio::post(self->m_strand, [self, changes = std::move(changes)] {
            self->OnChanges(changes);
          });
        });
  }

  void OnChanges(const PlatformResult<PlatformChanges>& changes) {
    if (!changes) {
      OnUnreachable(changes.error().m_message);
      return;
    }
    if (m_unreachable) {
      m_unreachable = false;
      LogEvent(EventId::kPlatformReached, "revision={}",
               changes.assume_value().m_revision);
    }
    Apply(changes.assume_value());
    m_current_at = SteadyClock().Now();
    m_synced = true;
    Watch();
  }

  void OnUnreachable(const std::string& message) {
    if (!m_unreachable) {
      m_unreachable = true;
      LogEvent(EventId::kPlatformUnreachable, "error={}", message);
    }
    m_timer.expires_after(kRetryDelay);
    m_timer.async_wait([self = shared_from_this()](auto error) {
      if (!error) {
        self->Watch();
      }
    });
  }

  void Apply(const PlatformChanges& changes) {
    bool changed = false;
    for (const PublishedValue& value : changes.m_values) {
      changed = ApplyValue(value) || changed;
    }
    m_revision = changes.m_revision;
    if (changed) {
      m_holder.Set(
          std::make_shared<const FleetView>(m_store.State(), *m_holder.Get()));
    }
  }

  bool ApplyValue(const PublishedValue& value) {
    std::vector<IniProblem> problems;
    const ConfigVerdict verdict = m_store.Offer(value, problems);
    if (verdict == ConfigVerdict::kRefused) {
      LogEvent(RefusalEvent(value.m_name), "{}", JoinProblems(problems));
    }
    if (m_store.HasConflict(value.m_name)) {
      LogEvent(EventId::kContractConflict, "name={}", value.m_name);
    }
    if (verdict != ConfigVerdict::kApplied) {
      return false;
    }
    LogEvent(AppliedEvent(value.m_name), "name={} revision={}", value.m_name,
             value.m_revision);
    return true;
  }

  const InstanceSettings m_settings;
  FleetViewHolder& m_holder;
  asio::strand<asio::io_context::executor_type> m_strand;
  asio::steady_timer m_timer;
  PlatformClient m_platform;
  ConfigStore m_store;
  std::uint64_t m_revision = 0;
  bool m_stopped = false;
  bool m_unreachable = false;
  std::atomic<bool> m_synced{false};
  std::atomic<TimePoint> m_current_at{TimePoint{}};
};

ConfigSync::ConfigSync(asio::io_context& context,
                       InstanceSettings settings,
                       FleetViewHolder& holder)
    : m_impl(std::make_shared<Impl>(context, std::move(settings), holder)) {}

ConfigSync::~ConfigSync() {
  Stop();
}

void ConfigSync::Start() {
  m_impl->Start();
}

void ConfigSync::Stop() {
  m_impl->Stop();
}

bool ConfigSync::IsSynced() const {
  return m_impl->IsSynced();
}

Milliseconds ConfigSync::Age() const {
  return m_impl->Age();
}

}  // namespace jackdawrack
