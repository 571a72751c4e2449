#include "replica_connection_pool.h"

#include <algorithm>

#include "core/check.h"
#include "core/event.h"
#include "core/random.h"
#include "upstream_notice.h"

namespace jackdawrack {
namespace {

/// Expected latency before the first response: that of a short request without
/// network latency, and with that between failure domains or regions.
constexpr Milliseconds kExpectedLocalLatency{12};
constexpr Milliseconds kExpectedRegionalLatency{20};
constexpr Milliseconds kExpectedRemoteLatency{35};

/// Time that an abandoned request may continue before its connection is closed.
/// Less than half a second, after which it would count as wasted work.
constexpr Milliseconds kAbandonGrace{250};

/// A connection that was used within this time is unlikely to be closed by the
/// upstream while a request is sent on it.
constexpr Milliseconds kFreshIdleTime{1'000};

/// Longest idle time after which a connection is reused. One to another region
/// carries hedges and failover only: it is closed soon, so that the connections
/// of all instances, and after a loss of power those that the upstream still
/// counts, fit its limit.
constexpr Milliseconds kMaxIdleTime{10'000};
constexpr Milliseconds kRemoteIdleTime{2'500};

/// Delay after a connection that failed to open or broke on its first request:
/// the upstream has reached its connection limit or has gone.
constexpr Milliseconds kMinOpenBackoff{25};
constexpr Milliseconds kMaxOpenBackoff{400};

/// Resolution of the random extension of a pause.
constexpr std::uint64_t kSpreadSteps = 1'000;

Milliseconds ExpectedLatency(Proximity proximity) {
  switch (proximity) {
    case Proximity::kLocal:
      return kExpectedLocalLatency;
    case Proximity::kRegional:
      return kExpectedRegionalLatency;
    case Proximity::kRemote:
      return kExpectedRemoteLatency;
  }
  return kExpectedRemoteLatency;
}

}  // namespace

ReplicaConnectionPool::ReplicaConnectionPool(
    boost::asio::io_context& context,
    ReplicaRecord record,
    const boost::asio::ip::tcp::endpoint& address,
    std::shared_ptr<ReplicaAvailability> availability,
    ReplicaConnectionPoolSettings settings,
    const UpstreamResponseRules& response_rules,
    CapacityListener on_capacity)
    : m_context(context),
      m_record(std::move(record)),
      m_address(address),
      m_availability(std::move(availability)),
      m_settings(std::move(settings)),
      m_response_rules(response_rules),
      m_on_capacity(std::move(on_capacity)),
      m_observation(ExpectedLatency(m_settings.m_proximity)),
      m_cold_until(BootClock().Now() + m_record.m_cold_time) {}

void ReplicaConnectionPool::Update(const ReplicaRecord& record) {
  m_record = record;
  m_cold_until = BootClock().Now() + record.m_cold_time;
}

void ReplicaConnectionPool::SetConnectionShare(std::size_t connections) {
  m_connection_share = connections;
  m_concurrency.SetMaximum(connections);
}

ReplicaCandidate ReplicaConnectionPool::Candidate(TimePoint now) {
  ReplicaCandidate candidate;
  const bool has_idle_connection =
      std::any_of(m_connections.begin(), m_connections.end(),
                  [](const auto& connection) { return connection->IsIdle(); });
  candidate.m_has_free_connection =
      (has_idle_connection || CanOpenConnection(now)) &&
      m_pending_requests.size() < m_concurrency.Value();
  const Availability availability = m_availability->At(now);
  candidate.m_is_usable = !m_is_retired && !m_record.m_draining &&
                          availability != Availability::kUnavailable;
  candidate.m_is_last_resort = availability == Availability::kLastResort;
  candidate.m_proximity = m_settings.m_proximity;
  candidate.m_is_spare = m_is_spare;
  candidate.m_is_cold = now < m_cold_until;
  candidate.m_latency = m_observation.Latency(now);
  candidate.m_failure_share = m_observation.FailureShare(now);
  candidate.m_in_flight = static_cast<std::uint32_t>(m_pending_requests.size());
  candidate.m_slots = m_record.m_slots;
  if (!m_pending_requests.empty()) {
    candidate.m_oldest_request_age =
        now - m_pending_requests.front().m_started_at;
  }
  if (!candidate.m_has_free_connection && m_connections.empty()) {
    candidate.m_connect_delay =
        std::max(m_next_open_at - now, Duration::zero());
  }
  return candidate;
}

bool ReplicaConnectionPool::CanOpenConnection(TimePoint now) const {
  return m_connections.size() < m_connection_share && now >= m_next_open_at;
}

void ReplicaConnectionPool::RecordOpenResult(bool has_succeeded,
                                             TimePoint now) {
  if (has_succeeded) {
    m_open_backoff = Milliseconds(0);
    return;
  }
  m_open_backoff =
      std::clamp(m_open_backoff * 2, kMinOpenBackoff, kMaxOpenBackoff);
  m_next_open_at = now + m_open_backoff;
}

std::shared_ptr<UpstreamConnection> ReplicaConnectionPool::AcquireConnection(
    bool needs_fresh,
    TimePoint now) {
  // The most recently used connection is the least likely to be closed by the
  // upstream
  std::shared_ptr<UpstreamConnection> latest;
  for (const auto& connection : m_connections) {
    if (connection->IsIdle() &&
        (latest == nullptr || connection->IdleSince() > latest->IdleSince())) {
      latest = connection;
    }
  }
  const bool is_fresh =
      latest != nullptr &&
      (!needs_fresh || now - latest->IdleSince() < kFreshIdleTime);
  if (is_fresh && latest->IsReusable(now)) {
    return latest;
  }
  if (latest != nullptr) {
    latest->Close();
    std::erase(m_connections, latest);
  }

  auto new_connection = std::make_shared<UpstreamConnection>(
      m_context, m_address, m_response_rules,
      m_settings.m_proximity == Proximity::kRemote ? kRemoteIdleTime
                                                   : kMaxIdleTime,
      [weak = weak_from_this()](const auto& header) {
        if (const auto self = weak.lock()) {
          self->OnResponseHeader(header);
        }
      });
  m_connections.push_back(new_connection);
  return new_connection;
}

void ReplicaConnectionPool::OnResponseHeader(
    const boost::beast::http::response_header<>& header) {
  const TimePoint now = BootClock().Now();
  const UpstreamNotice notice = ReadNotice(header, m_settings.m_leaving_header);
  if (notice.m_is_leaving && !m_availability->IsLeaving()) {
    LogEvent(EventId::kReplicaLeaving, "upstream={} service={} birth={}",
             m_record.m_id.Text(), m_record.m_service.Text(),
             m_record.m_incarnation.m_started_ms);
    m_availability->RecordLeaving(m_settings.m_drain_bound, now);
  }
  if (notice.m_pause) {
    LogEvent(EventId::kReplicaPaused, "upstream={} service={} pause_ms={}",
             m_record.m_id.Text(), m_record.m_service.Text(),
             notice.m_pause->count());
    m_availability->RecordPause(
        *notice.m_pause,
        static_cast<double>(RandomBelow(kSpreadSteps)) / kSpreadSteps, now);
    m_concurrency.Restart();
    ++m_counts.m_pauses;
  }
  if (notice.m_is_leaving || notice.m_pause) {
    CloseUnusedConnections();
  }
}

void ReplicaConnectionPool::CloseUnusedConnections() {
  for (const auto& connection : m_connections) {
    if (connection->IsUnused()) {
      connection->Close();
    }
  }
}

SentRequest ReplicaConnectionPool::Send(OutgoingRequest request,
                                        bool needs_fresh,
                                        Handler handler) {
  const TimePoint now = BootClock().Now();
  const std::uint64_t serial = m_next_serial++;
  const auto connection = AcquireConnection(needs_fresh, now);
  m_pending_requests.push_back(PendingRequest{serial, now, false});
  try {
    connection->Send(std::move(request),
                     [self = shared_from_this(), serial, connection,
                      handler = std::move(handler)](ExchangeResult result) {
                       self->OnExchangeEnd(serial, *connection,
                                           std::move(result), handler);
                     });
  } catch (...) {
    RemovePending(serial);
    throw;
  }
  return SentRequest(connection, serial);
}

void ReplicaConnectionPool::Abandon(const SentRequest& sent, TimePoint now) {
  const auto request =
      std::find_if(m_pending_requests.begin(), m_pending_requests.end(),
                   [&sent](const PendingRequest& pending) {
                     return pending.m_serial == sent.Serial();
                   });
  const auto connection = sent.Connection().lock();
  if (request == m_pending_requests.end() || connection == nullptr) {
    return;
  }
  request->m_is_abandoned = true;
  connection->Abandon(now + kAbandonGrace);
}

ReplicaConnectionPool::PendingRequest ReplicaConnectionPool::RemovePending(
    std::uint64_t serial) {
  const auto position =
      std::find_if(m_pending_requests.begin(), m_pending_requests.end(),
                   [serial](const PendingRequest& pending) {
                     return pending.m_serial == serial;
                   });
  JR_CHECK(position != m_pending_requests.end());
  const PendingRequest request = *position;
  m_pending_requests.erase(position);
  return request;
}

ExchangeOutcome ReplicaConnectionPool::Classify(
    const ExchangeResult& result) const {
  if (result.m_status != ExchangeStatus::kCompleted) {
    return ExchangeOutcome::kFailed;
  }
  const UpstreamResponse& response = *result.m_response;
  if (IsRefusal(response, m_settings.m_not_run_header)) {
    return ExchangeOutcome::kRefused;
  }
  return response.result_int() >= kFirstServerErrorStatus
             ? ExchangeOutcome::kFailed
             : ExchangeOutcome::kSuccess;
}

void ReplicaConnectionPool::RecordResult(ExchangeOutcome outcome,
                                         Duration latency,
                                         TimePoint now) {
  m_observation.Record(outcome, latency, now);
  switch (outcome) {
    case ExchangeOutcome::kSuccess:
      ++m_counts.m_answered;
      m_concurrency.RecordAnswer(latency, now);
      return;
    case ExchangeOutcome::kRefused:
      ++m_counts.m_refused;
      m_concurrency.RecordRefusal(now);
      return;
    case ExchangeOutcome::kFailed:
      ++m_counts.m_failed;
      return;
  }
}

void ReplicaConnectionPool::OnExchangeEnd(std::uint64_t serial,
                                          const UpstreamConnection& connection,
                                          ExchangeResult result,
                                          const Handler& handler) {
  const TimePoint now = BootClock().Now();
  const PendingRequest request = RemovePending(serial);
  if (result.m_status == ExchangeStatus::kCompleted ||
      (!connection.HasReceivedResponse() && !request.m_is_abandoned)) {
    RecordOpenResult(result.m_status == ExchangeStatus::kCompleted, now);
  }
  if (m_availability->At(now) != Availability::kAvailable) {
    CloseUnusedConnections();
  }
  std::erase_if(m_connections,
                [](const auto& connection) { return connection->IsClosed(); });

  // A request that was abandoned before it was sent says nothing about the
  // replica
  if (!(request.m_is_abandoned &&
        result.m_status == ExchangeStatus::kNotSent)) {
    RecordResult(Classify(result), now - request.m_started_at, now);
  }
  if (result.m_response &&
      result.m_response->result_int() == kStatusMisdirected) {
    LogEvent(EventId::kReplicaMisdirected, "upstream={} address={}",
             m_record.m_id.Text(), m_record.m_endpoint.ToText());
    Retire();
  }
  if (!request.m_is_abandoned) {
    handler(std::move(result));
  }
  m_on_capacity();
}

void ReplicaConnectionPool::CloseTimedOut(TimePoint now) {
  const auto connections = m_connections;
  for (const auto& connection : connections) {
    connection->CloseIfTimedOut(now);
  }
  std::erase_if(m_connections,
                [](const auto& connection) { return connection->IsClosed(); });
}

}  // namespace jackdawrack
