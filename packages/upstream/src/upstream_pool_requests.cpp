#include "upstream_pool_state.h"

#include <algorithm>
#include <boost/asio/post.hpp>

#include "core/check.h"
#include "core/event.h"
#include "upstream/http_upstream_adapter.h"

namespace jackdawrack {
namespace {

namespace asio = boost::asio;

/// Age at which an idle connection is closed and replaced by a new one.
constexpr Milliseconds kMaxConnectionAge{60'000};

/// Minimum number of replies before the measured service time is used.
constexpr double kMinServiceTimeSamples = 20;

/// Service time that is assumed until enough replies have been measured.
constexpr Milliseconds kDefaultServiceTime{100};

/// Time after the deadline during which a reply is still awaited, to learn when
/// the slot is free.
constexpr Milliseconds kLateReplyWait{3'000};

/// A reply counts as overdue after this multiple of the 99th percentile of the
/// service time, but not before `kMinOverdueAge`.
constexpr int kOverdueFactor = 10;

/// Lower bound of the age at which a reply counts as overdue.
constexpr Milliseconds kMinOverdueAge{250};

constexpr Milliseconds kCancelTimeout{200};

constexpr Milliseconds kProbeTimeout{400};

UpstreamError ToUpstreamError(const NetError& error) {
  switch (error.m_code) {
    case NetErrc::kNotSent:
      return MakeError(UpstreamErrc::kUnreachable, error.m_message);
    case NetErrc::kTimeout:
      return MakeError(UpstreamErrc::kTimeout, error.m_message);
    case NetErrc::kConnectionLost:
      return MakeError(UpstreamErrc::kConnectionLost, error.m_message);
    case NetErrc::kMalformed:
    case NetErrc::kTooLarge:
      return MakeError(UpstreamErrc::kMalformed, error.m_message);
  }
  return MakeError(UpstreamErrc::kConnectionLost, error.m_message);
}

}  // namespace

void UpstreamPoolState::ProbeIfDue(const HttpRequest& probe) {
  const TimePoint now = SteadyClock().Now();
  if (m_is_probing || (!HasOverdueReply() && !m_health.TryStartProbe(now))) {
    return;
  }
  std::optional<Connection> acquired = AcquireConnection();
  if (!acquired) {
    return;
  }
  m_is_probing = true;
  m_counters.m_probes.Add();
  HttpClient& client = *acquired->m_client;
  client.Send(probe, kProbeTimeout,
              [self = shared_from_this(), now,
               connection = *acquired](NetResult<HttpReply> reply) {
                asio::post(self->m_strand, [self, now, connection,
                                            reply = std::move(reply)] {
                  self->m_is_probing = false;
                  if (reply) {
                    self->RecordReply();
                    self->CloseOverdueConnections(now);
                    self->UpdateDraining(
                        HttpUpstreamAdapter::DecodeProbe(reply.assume_value())
                            .m_is_draining);
                  }
                  self->ReleaseConnection(connection);
                });
              });
}

std::optional<UpstreamPoolState::Connection>
UpstreamPoolState::AcquireConnection() {
  const TimePoint now = SteadyClock().Now();
  while (!m_idle_connections.empty()) {
    Connection connection = std::move(m_idle_connections.back());
    m_idle_connections.pop_back();
    if (now - connection.m_created_at < kMaxConnectionAge) {
      return connection;
    }
    --m_connection_count;
  }
  if (m_connection_count >= m_max_connections) {
    return std::nullopt;
  }
  ++m_connection_count;
  HttpClientSettings settings;
  settings.m_endpoint = m_upstream.m_endpoint;
  return Connection{std::make_shared<HttpClient>(m_context, settings), now};
}

void UpstreamPoolState::SendRequest(QueuedRequest queued,
                                    Connection connection) {
  ++m_running;
  JR_CHECK(m_running <= m_upstream.m_slots);
  const std::uint64_t id = ++m_last_request_id;
  InFlightRequest& request = m_in_flight[id];
  request.m_call = std::move(queued.m_call);
  request.m_connection = std::move(connection);
  request.m_sent_at = SteadyClock().Now();
  request.m_handler = std::move(queued.m_handler);
  request.m_idempotency = queued.m_idempotency;
  Milliseconds timeout(
      std::max(1U, RemainingMs(request.m_sent_at, queued.m_deadline)));

  // Keep waiting after the caller's deadline, to learn when the slot is free
  if (m_settings.m_held_slots) {
    StartDeadlineTimer(id, request, timeout);
    timeout += kLateReplyWait;
  }
  request.m_connection.m_client->Send(
      std::move(queued.m_request), timeout,
      [self = shared_from_this(), id](NetResult<HttpReply> reply) {
        asio::post(self->m_strand, [self, id, reply = std::move(reply)] {
          self->OnReply(id, reply);
        });
      });
}

void UpstreamPoolState::StartDeadlineTimer(std::uint64_t id,
                                           InFlightRequest& request,
                                           Milliseconds timeout) {
  request.m_deadline_timer = std::make_shared<asio::steady_timer>(m_strand);
  request.m_deadline_timer->expires_after(timeout);
  request.m_deadline_timer->async_wait(
      [weak = weak_from_this(), id](auto error) {
        const auto self = weak.lock();
        if (!error && self != nullptr) {
          self->OnDeadline(id);
        }
      });
}

void UpstreamPoolState::OnDeadline(std::uint64_t id) {
  const auto found = m_in_flight.find(id);
  if (found == m_in_flight.end() || !found->second.m_handler) {
    return;
  }
  m_counters.m_held_slots.Add();
  const UpstreamPool::ReplyHandler handler =
      std::exchange(found->second.m_handler, {});
  handler(MakeError(UpstreamErrc::kTimeout, "no reply before the deadline"));
}

void UpstreamPoolState::OnReply(std::uint64_t id,
                                const NetResult<HttpReply>& reply) {
  const auto found = m_in_flight.find(id);
  JR_CHECK(found != m_in_flight.end() && m_running > 0);
  const InFlightRequest request = std::move(found->second);
  m_in_flight.erase(found);
  if (request.m_deadline_timer != nullptr) {
    request.m_deadline_timer->cancel();
  }
  if (reply) {
    const TimePoint now = SteadyClock().Now();
    m_service_times.Record(now - request.m_sent_at, now);
    RecordReply();
    CloseOverdueConnections(request.m_sent_at);
  } else if (reply.error().m_code == NetErrc::kNotSent) {
    RecordConnectFailure();
  }

  // The upstream may still be executing a request whose connection broke
  if (!reply && reply.error().m_code == NetErrc::kConnectionLost &&
      !request.m_is_abandoned && m_settings.m_held_slots) {
    HoldSlot();
  } else {
    --m_running;
  }
  if (!request.m_handler) {
    m_counters.m_late_replies.Add(reply ? 1 : 0);
  } else if (reply) {
    request.m_handler(reply.assume_value());
  } else {
    request.m_handler(ToUpstreamError(reply.error()));
  }
  ReleaseConnection(request.m_connection);
}

Duration UpstreamPoolState::OverdueAge() const {
  const auto service = m_service_times.Quantile(0.99, kMinServiceTimeSamples);
  return std::max<Duration>(
      service.value_or(kDefaultServiceTime) * kOverdueFactor, kMinOverdueAge);
}

bool UpstreamPoolState::IsOverdue(const InFlightRequest& request,
                                  TimePoint now) const {
  const bool may_abandon =
      !request.m_handler || request.m_idempotency == Idempotency::kIdempotent;
  return m_settings.m_silent_abandon && may_abandon &&
         !request.m_is_abandoned && now - request.m_sent_at > OverdueAge();
}

void UpstreamPoolState::CloseOverdueConnections(TimePoint sent_before) {
  const TimePoint now = SteadyClock().Now();
  for (auto& [id, request] : m_in_flight) {
    if (request.m_sent_at < sent_before && IsOverdue(request, now)) {
      request.m_is_abandoned = true;
      m_counters.m_abandoned_connections.Add();
      LogEvent(EventId::kConnectionAbandoned, "upstream={}",
               m_upstream.m_id.Text());
      request.m_connection.m_client->Close();
    }
  }
}

bool UpstreamPoolState::HasOverdueReply() const {
  const TimePoint now = SteadyClock().Now();
  return std::any_of(
      m_in_flight.begin(), m_in_flight.end(),
      [&](const auto& entry) { return IsOverdue(entry.second, now); });
}

void UpstreamPoolState::HoldSlot() {
  m_counters.m_held_slots.Add();
  auto timer = std::make_shared<asio::steady_timer>(m_strand);
  timer->expires_after(m_service_times.Quantile(0.99, kMinServiceTimeSamples)
                           .value_or(kDefaultServiceTime));
  timer->async_wait([self = shared_from_this(), timer](auto) {
    JR_CHECK(self->m_running > 0);
    --self->m_running;
    self->StartQueuedRequests();
  });
}

void UpstreamPoolState::CancelOnStrand(const std::string& call,
                                       const HttpRequest& cancel_request) {
  // Remove the request from the queue if it was not sent yet
  for (auto queued = m_queue.begin(); queued != m_queue.end(); ++queued) {
    if (queued->second.m_call == call) {
      const UpstreamPool::ReplyHandler handler =
          std::move(queued->second.m_handler);
      m_queue.erase(queued);
      m_queued = static_cast<std::uint32_t>(m_queue.size());
      handler(MakeError(UpstreamErrc::kCancelled, "cancelled in the queue"));
      return;
    }
  }

  // Cancel it at the upstream if it is in flight and a connection is available
  const bool is_running = std::any_of(
      m_in_flight.begin(), m_in_flight.end(),
      [&](const auto& entry) { return entry.second.m_call == call; });
  if (!is_running) {
    return;
  }
  std::optional<Connection> acquired = AcquireConnection();
  if (!acquired) {
    return;
  }
  m_counters.m_cancellations.Add();
  HttpClient& client = *acquired->m_client;
  client.Send(cancel_request, kCancelTimeout,
              [self = shared_from_this(),
               connection = *acquired](const NetResult<HttpReply>&) {
                asio::post(self->m_strand, [self, connection] {
                  self->ReleaseConnection(connection);
                });
              });
}

void UpstreamPoolState::ReleaseConnection(const Connection& connection) {
  if (connection.m_client->IsOpen()) {
    m_idle_connections.push_back(connection);
  } else {
    --m_connection_count;
  }
  StartQueuedRequests();
}

}  // namespace jackdawrack
