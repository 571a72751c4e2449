#include "upstream/upstream_pool.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <map>

#include "core/check.h"
#include "core/event.h"
#include "net/http_client.h"
#include "policy/decayed_latency.h"
#include "policy/replica_health.h"
#include "upstream/http_upstream_adapter.h"

namespace jackdawrack {
namespace {

namespace asio = boost::asio;

constexpr std::size_t kMaxQueuedPerSlot = 200;

/// Connections beyond one a slot, for cancellations.
constexpr std::uint32_t kSpareConnections = 1;

/// Two owners can believe in the same upstream for a moment; each keeps to
/// this part of its connection limit.
constexpr std::uint32_t kConnectionShareDivisor = 3;

/// Age at which an idle connection is closed and made anew.
constexpr Milliseconds kMaxConnectionAge{60'000};

/// Replies that have to be seen before the service time counts as known.
constexpr double kLeastServiceSamples = 20;

/// Time that a timed-out request counts as running while no service time is
/// known.
constexpr Milliseconds kUnknownServiceTime{100};

/// Time after the deadline in which a reply is still waited for, to know that
/// the slot is free.
constexpr Milliseconds kLateReplyWait{3'000};

/// A request is suspected lost at this multiple of the service time, but never
/// before the least age.
constexpr int kSilentFactor = 10;
constexpr Milliseconds kLeastSilentAge{250};

UpstreamError FromNet(const NetError& error) {
  switch (error.m_code) {
    case NetErrc::kNotSent:
      return MakeError(UpstreamErrc::kUnreachable, error.m_message);
    case NetErrc::kTimeout:
      return MakeError(UpstreamErrc::kTimeout, error.m_message);
    case NetErrc::kBroken:
      return MakeError(UpstreamErrc::kBroken, error.m_message);
    case NetErrc::kMalformed:
      return MakeError(UpstreamErrc::kMalformed, error.m_message);
  }
  return MakeError(UpstreamErrc::kBroken, error.m_message);
}

}  // namespace

class UpstreamPool::Impl final : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& context,
       Upstream upstream,
       QueryPolicySettings settings,
       UpstreamCounters& counters)
      : m_context(context),
        m_upstream(std::move(upstream)),
        m_settings(settings),
        m_counters(counters),
        m_connection_share(std::max(
            1U,
            std::min(m_upstream.m_slots + kSpareConnections,
                     m_upstream.m_connection_limit / kConnectionShareDivisor))),
        m_strand(asio::make_strand(context)),
        m_queue_timer(m_strand) {}

  void Submit(std::string call,
              HttpRequest request,
              TimePoint deadline,
              ReplyHandler handler,
              RepeatRule rule) {
    asio::post(m_strand,
               [self = shared_from_this(),
                job = Job{std::move(call), std::move(request), deadline,
                          std::move(handler), rule}]() mutable {
                 self->Enqueue(std::move(job));
               });
  }

  void Cancel(std::string call, HttpRequest cancel_request) {
    asio::post(m_strand, [self = shared_from_this(), call = std::move(call),
                          cancel_request = std::move(cancel_request)] {
      self->CancelNow(call, cancel_request);
    });
  }

  void MarkDraining() {
    asio::post(m_strand,
               [self = shared_from_this()] { self->NoteState(true); });
  }

  void Withdraw() {
    asio::post(m_strand, [self = shared_from_this()] {
      if (self->m_settings.m_drain_requeue) {
        self->TakeBackQueue(UpstreamErrc::kDraining, "published as leaving");
      }
    });
  }

  void Probe(HttpRequest probe) {
    asio::post(m_strand, [self = shared_from_this(), probe = std::move(probe)] {
      self->ProbeIfDue(probe);
    });
  }

  [[nodiscard]] UpstreamLoad Load() const {
    return UpstreamLoad{m_running, m_queued, m_draining, m_lost};
  }

  [[nodiscard]] const Upstream& Target() const { return m_upstream; }

 private:
  struct Job {
    std::string m_call;
    HttpRequest m_request;
    TimePoint m_deadline;
    ReplyHandler m_handler;
    RepeatRule m_rule = RepeatRule::kNever;
  };

  struct Connection {
    std::shared_ptr<HttpClient> m_client;
    TimePoint m_made{};
  };

  /// A request that was sent and holds a slot.
  struct Sent {
    std::string m_call;
    Connection m_connection;
    TimePoint m_sent{};
    /// Empty once it was failed at its deadline; the slot stays taken.
    ReplyHandler m_handler;
    RepeatRule m_rule = RepeatRule::kNever;
    bool m_is_abandoned = false;
    std::shared_ptr<asio::steady_timer> m_deadline_timer;
  };

  using Queue = std::multimap<TimePoint, Job>;

  void Enqueue(Job job) {
    if (m_lost) {
      job.m_handler(MakeError(UpstreamErrc::kUnreachable, "upstream is lost"));
      return;
    }
    if (m_draining && m_settings.m_drain_requeue) {
      job.m_handler(MakeError(UpstreamErrc::kDraining, "upstream is leaving"));
      return;
    }
    if (m_queue.size() >= kMaxQueuedPerSlot * m_upstream.m_slots) {
      job.m_handler(MakeError(UpstreamErrc::kNotStarted, "queue is full"));
      return;
    }
    if (IsTooLate(job.m_deadline)) {
      m_counters.m_early_refusals.Add();
      job.m_handler(
          MakeError(UpstreamErrc::kNotStarted, "deadline cannot be met"));
      return;
    }
    if (m_running >= m_upstream.m_slots) {
      m_counters.m_slot_waits.Add();
    }
    const TimePoint deadline = job.m_deadline;
    m_queue.emplace(deadline, std::move(job));
    StartWhatFits();
  }

  // True when work with this deadline would still wait or run at it. An idle
  // upstream is always tried, so that the service time is learned anew.
  [[nodiscard]] bool IsTooLate(TimePoint deadline) const {
    if (!m_settings.m_early_refusal || m_running < m_upstream.m_slots) {
      return false;
    }
    const auto service = m_service.Quantile(0.5, kLeastServiceSamples);
    if (!service) {
      return false;
    }
    const auto ahead =
        std::distance(m_queue.begin(), m_queue.upper_bound(deadline));
    const auto rounds = 1 + ahead / m_upstream.m_slots;
    return SteadyClock().Now() + (rounds + 1) * *service > deadline;
  }

  void StartWhatFits() {
    FailExpired();
    while (!m_queue.empty() && m_running < m_upstream.m_slots) {
      std::optional<Connection> connection = TakeConnection();
      if (!connection) {
        break;
      }
      Job job = std::move(m_queue.begin()->second);
      m_queue.erase(m_queue.begin());
      Run(std::move(job), std::move(*connection));
    }
    m_queued = static_cast<std::uint32_t>(m_queue.size());
    ScheduleExpiry();
  }

  // Fails what waited past its deadline; nothing of it was sent.
  void FailExpired() {
    const TimePoint now = SteadyClock().Now();
    while (!m_queue.empty() && m_queue.begin()->first <= now) {
      Job job = std::move(m_queue.begin()->second);
      m_queue.erase(m_queue.begin());
      job.m_handler(
          MakeError(UpstreamErrc::kNotStarted, "deadline passed in the queue"));
    }
  }

  void ScheduleExpiry() {
    if (m_queue.empty()) {
      m_queue_timer.cancel();
      return;
    }
    m_queue_timer.expires_at(m_queue.begin()->first);
    m_queue_timer.async_wait([weak = weak_from_this()](auto error) {
      const auto self = weak.lock();
      if (!error && self != nullptr) {
        self->StartWhatFits();
      }
    });
  }

  // Takes back everything that waits; nothing of it was sent.
  void TakeBackQueue(UpstreamErrc code, const char* why) {
    Queue queue = std::exchange(m_queue, {});
    m_queued = 0;
    m_counters.m_requeued.Add(queue.size());
    for (auto& [deadline, job] : queue) {
      job.m_handler(MakeError(code, why));
    }
  }

  void NoteState(bool is_draining) {
    if (!m_health.OnReport(is_draining, SteadyClock().Now())) {
      return;
    }
    m_draining = is_draining;
    LogEvent(is_draining ? EventId::kUpstreamDraining : EventId::kUpstreamBack,
             "upstream={}", m_upstream.m_id.Text());
    if (is_draining && m_settings.m_drain_requeue) {
      TakeBackQueue(UpstreamErrc::kDraining, "upstream is leaving");
    }
  }

  void NoteConnectFailure() {
    if (!m_settings.m_ejection ||
        !m_health.OnConnectFailure(SteadyClock().Now())) {
      return;
    }
    m_lost = true;
    m_counters.m_ejections.Add();
    LogEvent(EventId::kUpstreamUnreachable, "upstream={}",
             m_upstream.m_id.Text());
    TakeBackQueue(UpstreamErrc::kUnreachable, "upstream is lost");
  }

  void NoteReply() {
    m_health.OnReply();
    if (m_lost.exchange(false)) {
      LogEvent(EventId::kUpstreamBack, "upstream={}", m_upstream.m_id.Text());
    }
  }

  void ProbeIfDue(const HttpRequest& probe) {
    const TimePoint now = SteadyClock().Now();
    if (m_is_probing || (!HasSilent() && !m_health.TakeProbe(now))) {
      return;
    }
    std::optional<Connection> taken = TakeConnection();
    if (!taken) {
      return;
    }
    m_is_probing = true;
    m_counters.m_probes.Add();
    HttpClient& client = *taken->m_client;
    client.Send(probe, kProbeTimeout,
                [self = shared_from_this(), now,
                 connection = *taken](NetResult<HttpReply> reply) {
                  asio::post(self->m_strand, [self, now, connection,
                                              reply = std::move(reply)] {
                    self->m_is_probing = false;
                    if (reply) {
                      self->NoteReply();
                      self->AbandonSilent(now);
                      self->NoteState(
                          HttpUpstreamAdapter::DecodeProbe(reply.assume_value())
                              .m_is_draining);
                    }
                    self->GiveBack(connection);
                  });
                });
  }

  std::optional<Connection> TakeConnection() {
    const TimePoint now = SteadyClock().Now();
    while (!m_idle.empty()) {
      Connection connection = std::move(m_idle.back());
      m_idle.pop_back();
      if (now - connection.m_made < kMaxConnectionAge) {
        return connection;
      }
      --m_connections;
    }
    if (m_connections >= m_connection_share) {
      return std::nullopt;
    }
    ++m_connections;
    HttpClientSettings settings;
    settings.m_endpoint = m_upstream.m_endpoint;
    return Connection{std::make_shared<HttpClient>(m_context, settings), now};
  }

  void Run(Job job, Connection connection) {
    ++m_running;
    JR_CHECK(m_running <= m_upstream.m_slots);
    const std::uint64_t id = ++m_last_sent;
    Sent& sent = m_sent[id];
    sent.m_call = std::move(job.m_call);
    sent.m_connection = std::move(connection);
    sent.m_sent = SteadyClock().Now();
    sent.m_handler = std::move(job.m_handler);
    sent.m_rule = job.m_rule;
    Milliseconds timeout(
        std::max(1U, RemainingMs(sent.m_sent, job.m_deadline)));

    // Wait longer than the caller does, to know when the slot is free again
    if (m_settings.m_held_slots) {
      StartDeadline(id, sent, timeout);
      timeout += kLateReplyWait;
    }
    sent.m_connection.m_client->Send(
        std::move(job.m_request), timeout,
        [self = shared_from_this(), id](NetResult<HttpReply> reply) {
          asio::post(self->m_strand, [self, id, reply = std::move(reply)] {
            self->OnReply(id, reply);
          });
        });
  }

  void StartDeadline(std::uint64_t id, Sent& sent, Milliseconds timeout) {
    sent.m_deadline_timer = std::make_shared<asio::steady_timer>(m_strand);
    sent.m_deadline_timer->expires_after(timeout);
    sent.m_deadline_timer->async_wait(
        [weak = weak_from_this(), id](auto error) {
          const auto self = weak.lock();
          if (!error && self != nullptr) {
            self->OnDeadline(id);
          }
        });
  }

  // Fails a request at its deadline; the upstream may still run it, so that
  // its slot is not given to another one.
  void OnDeadline(std::uint64_t id) {
    const auto found = m_sent.find(id);
    if (found == m_sent.end() || !found->second.m_handler) {
      return;
    }
    m_counters.m_held_slots.Add();
    const ReplyHandler handler = std::exchange(found->second.m_handler, {});
    handler(MakeError(UpstreamErrc::kTimeout, "no reply in time"));
  }

  void OnReply(std::uint64_t id, const NetResult<HttpReply>& reply) {
    const auto found = m_sent.find(id);
    JR_CHECK(found != m_sent.end() && m_running > 0);
    const Sent sent = std::move(found->second);
    m_sent.erase(found);
    if (sent.m_deadline_timer != nullptr) {
      sent.m_deadline_timer->cancel();
    }
    if (reply) {
      const TimePoint now = SteadyClock().Now();
      m_service.Record(now - sent.m_sent, now);
      NoteReply();
      AbandonSilent(sent.m_sent);
    } else if (reply.error().m_code == NetErrc::kNotSent) {
      NoteConnectFailure();
    }

    // A request whose connection broke may still run there
    if (!reply && reply.error().m_code == NetErrc::kBroken &&
        !sent.m_is_abandoned && m_settings.m_held_slots) {
      HoldSlot();
    } else {
      --m_running;
    }
    if (!sent.m_handler) {
      m_counters.m_late_replies.Add(reply ? 1 : 0);
    } else if (reply) {
      sent.m_handler(reply.assume_value());
    } else {
      sent.m_handler(FromNet(reply.error()));
    }
    GiveBack(sent.m_connection);
  }

  // The age at which an unanswered request is suspected of being lost.
  [[nodiscard]] Duration SilentAge() const {
    const auto service = m_service.Quantile(0.99, kLeastServiceSamples);
    return std::max<Duration>(
        service.value_or(kUnknownServiceTime) * kSilentFactor, kLeastSilentAge);
  }

  [[nodiscard]] bool IsSilent(const Sent& sent, TimePoint now) const {
    const bool may_abandon =
        !sent.m_handler || sent.m_rule == RepeatRule::kIdempotent;
    return m_settings.m_silent_abandon && may_abandon && !sent.m_is_abandoned &&
           now - sent.m_sent > SilentAge();
  }

  // Closes connections whose reply is late although something that was sent
  // later, at `answered`, has its reply.
  void AbandonSilent(TimePoint answered) {
    const TimePoint now = SteadyClock().Now();
    for (auto& [id, sent] : m_sent) {
      if (sent.m_sent < answered && IsSilent(sent, now)) {
        sent.m_is_abandoned = true;
        m_counters.m_abandoned.Add();
        LogEvent(EventId::kConnectionAbandoned, "upstream={}",
                 m_upstream.m_id.Text());
        sent.m_connection.m_client->Close();
      }
    }
  }

  [[nodiscard]] bool HasSilent() const {
    const TimePoint now = SteadyClock().Now();
    return std::any_of(m_sent.begin(), m_sent.end(), [&](const auto& entry) {
      return IsSilent(entry.second, now);
    });
  }

  // Frees the slot after the time that the upstream usually needs at most.
  void HoldSlot() {
    m_counters.m_held_slots.Add();
    auto timer = std::make_shared<asio::steady_timer>(m_strand);
    timer->expires_after(m_service.Quantile(0.99, kLeastServiceSamples)
                             .value_or(kUnknownServiceTime));
    timer->async_wait([self = shared_from_this(), timer](auto) {
      JR_CHECK(self->m_running > 0);
      --self->m_running;
      self->StartWhatFits();
    });
  }

  void CancelNow(const std::string& call, const HttpRequest& cancel_request) {
    // Withdraw it from the queue
    for (auto job = m_queue.begin(); job != m_queue.end(); ++job) {
      if (job->second.m_call == call) {
        const ReplyHandler handler = std::move(job->second.m_handler);
        m_queue.erase(job);
        m_queued = static_cast<std::uint32_t>(m_queue.size());
        handler(MakeError(UpstreamErrc::kCancelled, "withdrawn"));
        return;
      }
    }

    // Tell the upstream if it runs and a connection is to be had
    const bool is_running = std::any_of(
        m_sent.begin(), m_sent.end(),
        [&](const auto& entry) { return entry.second.m_call == call; });
    if (!is_running) {
      return;
    }
    std::optional<Connection> taken = TakeConnection();
    if (!taken) {
      return;
    }
    m_counters.m_cancels.Add();
    HttpClient& client = *taken->m_client;
    client.Send(cancel_request, kCancelTimeout,
                [self = shared_from_this(),
                 connection = *taken](const NetResult<HttpReply>&) {
                  asio::post(self->m_strand, [self, connection] {
                    self->GiveBack(connection);
                  });
                });
  }

  void GiveBack(const Connection& connection) {
    if (connection.m_client->IsOpen()) {
      m_idle.push_back(connection);
    } else {
      --m_connections;
    }
    StartWhatFits();
  }

  static constexpr Milliseconds kCancelTimeout{200};
  static constexpr Milliseconds kProbeTimeout{400};

  asio::io_context& m_context;
  const Upstream m_upstream;
  const QueryPolicySettings m_settings;
  UpstreamCounters& m_counters;
  const std::uint32_t m_connection_share;
  asio::strand<asio::io_context::executor_type> m_strand;
  asio::steady_timer m_queue_timer;
  Queue m_queue;
  std::map<std::uint64_t, Sent> m_sent;
  std::uint64_t m_last_sent = 0;
  bool m_is_probing = false;
  std::vector<Connection> m_idle;
  std::uint32_t m_connections = 0;
  std::atomic<std::uint32_t> m_running{0};
  std::atomic<std::uint32_t> m_queued{0};
  std::atomic<bool> m_draining{false};
  std::atomic<bool> m_lost{false};
  ReplicaHealth m_health;
  DecayedLatency m_service;
};

UpstreamPool::UpstreamPool(asio::io_context& context,
                           Upstream upstream,
                           QueryPolicySettings settings,
                           UpstreamCounters& counters)
    : m_impl(std::make_shared<Impl>(context,
                                    std::move(upstream),
                                    settings,
                                    counters)) {}

UpstreamPool::~UpstreamPool() = default;

void UpstreamPool::Submit(std::string call,
                          HttpRequest request,
                          TimePoint deadline,
                          ReplyHandler handler,
                          RepeatRule rule) {
  m_impl->Submit(std::move(call), std::move(request), deadline,
                 std::move(handler), rule);
}

void UpstreamPool::Cancel(std::string call, HttpRequest cancel_request) {
  m_impl->Cancel(std::move(call), std::move(cancel_request));
}

void UpstreamPool::MarkDraining() {
  m_impl->MarkDraining();
}

void UpstreamPool::Withdraw() {
  m_impl->Withdraw();
}

void UpstreamPool::Probe(HttpRequest probe) {
  m_impl->Probe(std::move(probe));
}

UpstreamLoad UpstreamPool::Load() const {
  return m_impl->Load();
}

const Upstream& UpstreamPool::Target() const {
  return m_impl->Target();
}

}  // namespace jackdawrack
