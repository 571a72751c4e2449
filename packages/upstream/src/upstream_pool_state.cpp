#include "upstream_pool_state.h"

#include <boost/asio/post.hpp>

#include "core/event.h"

namespace jackdawrack {
namespace {

namespace asio = boost::asio;

/// Limit of the queue length, per slot.
constexpr std::size_t kMaxQueuedPerSlot = 200;

/// Connections in addition to one per slot, for cancellations and probes.
constexpr std::uint32_t kSpareConnections = 1;

/// Several owners can use the same upstream for a short time while ownership
/// changes. Each opens at most this fraction of its connection limit.
constexpr std::uint32_t kConnectionShareDivisor = 3;

/// Minimum number of replies before the measured service time is used.
constexpr double kMinServiceTimeSamples = 20;

}  // namespace

UpstreamPoolState::UpstreamPoolState(asio::io_context& context,
                                     Upstream upstream,
                                     QueryPolicySettings settings,
                                     UpstreamCounters& counters)
    : m_context(context),
      m_upstream(std::move(upstream)),
      m_settings(settings),
      m_counters(counters),
      m_max_connections(std::max(
          1U,
          std::min(m_upstream.m_slots + kSpareConnections,
                   m_upstream.m_connection_limit / kConnectionShareDivisor))),
      m_strand(asio::make_strand(context)),
      m_queue_timer(m_strand) {}

void UpstreamPoolState::Submit(std::string call,
                               HttpRequest request,
                               TimePoint deadline,
                               UpstreamPool::ReplyHandler handler,
                               Idempotency idempotency) {
  asio::post(m_strand, [self = shared_from_this(),
                        queued = QueuedRequest{
                            std::move(call), std::move(request), deadline,
                            std::move(handler), idempotency}]() mutable {
    self->Enqueue(std::move(queued));
  });
}

void UpstreamPoolState::Cancel(std::string call, HttpRequest cancel_request) {
  asio::post(m_strand, [self = shared_from_this(), call = std::move(call),
                        cancel_request = std::move(cancel_request)] {
    self->CancelOnStrand(call, cancel_request);
  });
}

void UpstreamPoolState::MarkDraining() {
  asio::post(m_strand,
             [self = shared_from_this()] { self->UpdateDraining(true); });
}

void UpstreamPoolState::DrainQueue() {
  asio::post(m_strand, [self = shared_from_this()] {
    if (self->m_settings.m_drain_requeue) {
      self->FailQueue(UpstreamErrc::kDraining,
                      "upstream is not published as live");
    }
  });
}

void UpstreamPoolState::Probe(HttpRequest probe) {
  asio::post(m_strand, [self = shared_from_this(), probe = std::move(probe)] {
    self->ProbeIfDue(probe);
  });
}

UpstreamLoad UpstreamPoolState::Load() const {
  return UpstreamLoad{m_running, m_queued, m_draining, m_unreachable};
}

void UpstreamPoolState::Enqueue(QueuedRequest queued) {
  if (m_unreachable) {
    queued.m_handler(
        MakeError(UpstreamErrc::kUnreachable, "upstream is unreachable"));
    return;
  }
  if (m_draining && m_settings.m_drain_requeue) {
    queued.m_handler(
        MakeError(UpstreamErrc::kDraining, "upstream is draining"));
    return;
  }
  if (m_queue.size() >= kMaxQueuedPerSlot * m_upstream.m_slots) {
    queued.m_handler(
        MakeError(UpstreamErrc::kOverloaded, "upstream queue is full"));
    return;
  }
  if (WouldMissDeadline(queued.m_deadline)) {
    m_counters.m_early_refusals.Add();
    queued.m_handler(
        MakeError(UpstreamErrc::kOverloaded, "deadline cannot be met"));
    return;
  }
  if (m_running >= m_upstream.m_slots) {
    m_counters.m_slot_waits.Add();
  }
  const TimePoint deadline = queued.m_deadline;
  m_queue.emplace(deadline, std::move(queued));
  StartQueuedRequests();
}

bool UpstreamPoolState::WouldMissDeadline(TimePoint deadline) const {
  if (!m_settings.m_early_refusal || m_running < m_upstream.m_slots) {
    return false;
  }
  const auto service = m_service_times.Quantile(0.5, kMinServiceTimeSamples);
  if (!service) {
    return false;
  }
  const auto ahead =
      std::distance(m_queue.begin(), m_queue.upper_bound(deadline));
  const auto rounds = 1 + ahead / m_upstream.m_slots;
  return SteadyClock().Now() + (rounds + 1) * *service > deadline;
}

void UpstreamPoolState::StartQueuedRequests() {
  FailExpired();
  while (!m_queue.empty() && m_running < m_upstream.m_slots) {
    std::optional<Connection> connection = AcquireConnection();
    if (!connection) {
      break;
    }
    QueuedRequest queued = std::move(m_queue.begin()->second);
    m_queue.erase(m_queue.begin());
    SendRequest(std::move(queued), std::move(*connection));
  }
  m_queued = static_cast<std::uint32_t>(m_queue.size());
  ScheduleExpiry();
}

void UpstreamPoolState::FailExpired() {
  const TimePoint now = SteadyClock().Now();
  while (!m_queue.empty() && m_queue.begin()->first <= now) {
    QueuedRequest queued = std::move(m_queue.begin()->second);
    m_queue.erase(m_queue.begin());
    queued.m_handler(
        MakeError(UpstreamErrc::kOverloaded, "deadline expired in the queue"));
  }
}

void UpstreamPoolState::ScheduleExpiry() {
  if (m_queue.empty()) {
    m_queue_timer.cancel();
    return;
  }
  m_queue_timer.expires_at(m_queue.begin()->first);
  m_queue_timer.async_wait([weak = weak_from_this()](auto error) {
    const auto self = weak.lock();
    if (!error && self != nullptr) {
      self->StartQueuedRequests();
    }
  });
}

void UpstreamPoolState::FailQueue(UpstreamErrc code, const char* message) {
  Queue queue = std::exchange(m_queue, {});
  m_queued = 0;
  m_counters.m_requeued_requests.Add(queue.size());
  for (auto& [deadline, queued] : queue) {
    queued.m_handler(MakeError(code, message));
  }
}

void UpstreamPoolState::UpdateDraining(bool is_draining) {
  if (!m_health.OnDrainingReport(is_draining, SteadyClock().Now())) {
    return;
  }
  m_draining = is_draining;
  LogEvent(is_draining ? EventId::kUpstreamDraining : EventId::kUpstreamBack,
           "upstream={}", m_upstream.m_id.Text());
  if (is_draining && m_settings.m_drain_requeue) {
    FailQueue(UpstreamErrc::kDraining, "upstream is draining");
  }
}

void UpstreamPoolState::RecordConnectFailure() {
  if (!m_settings.m_ejection ||
      !m_health.OnConnectFailure(SteadyClock().Now())) {
    return;
  }
  m_unreachable = true;
  m_counters.m_ejections.Add();
  LogEvent(EventId::kUpstreamUnreachable, "upstream={}",
           m_upstream.m_id.Text());
  FailQueue(UpstreamErrc::kUnreachable, "upstream is unreachable");
}

void UpstreamPoolState::RecordReply() {
  m_health.OnReply();
  if (m_unreachable.exchange(false)) {
    LogEvent(EventId::kUpstreamBack, "upstream={}", m_upstream.m_id.Text());
  }
}

}  // namespace jackdawrack
