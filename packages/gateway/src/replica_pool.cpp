#include "replica_pool.h"

#include <algorithm>

#include "core/check.h"
#include "core/event.h"

namespace jackdawrack {
namespace {

/// Expected latency before the first response: a short request without and with
/// network latency between regions.
constexpr Milliseconds kHomeLatency{12};
constexpr Milliseconds kRemoteLatency{35};

/// Time that an abandoned request may continue before its connection is closed.
/// Less than half a second, after which it would count as wasted work.
constexpr Milliseconds kAbandonGrace{250};

/// A connection that was used within this time is unlikely to be closed by the
/// upstream while a request is sent on it.
constexpr Milliseconds kFreshTime{1'000};

/// Delay after a connection that failed to open or broke on its first request:
/// the upstream has reached its connection limit or has gone.
constexpr Milliseconds kFirstOpenBackoff{25};
constexpr Milliseconds kLongestOpenBackoff{400};

}  // namespace

ReplicaPool::ReplicaPool(boost::asio::io_context& context,
                         ReplicaRecord record,
                         ReplicaPoolSettings settings,
                         CapacityListener on_capacity)
    : m_context(context),
      m_record(std::move(record)),
      m_settings(std::move(settings)),
      m_on_capacity(std::move(on_capacity)),
      m_observation(m_settings.m_is_home ? kHomeLatency : kRemoteLatency),
      m_cold_until(BootClock().Now() + m_record.m_cold_time) {}

void ReplicaPool::Update(const ReplicaRecord& record) {
  m_record = record;
  m_cold_until = BootClock().Now() + record.m_cold_time;
}

void ReplicaPool::SetConnectionShare(std::size_t connections) {
  m_share = connections;
  m_concurrency.SetMost(connections);
}

ReplicaCandidate ReplicaPool::Candidate(TimePoint now) {
  ReplicaCandidate candidate;
  const bool has_idle =
      std::any_of(m_channels.begin(), m_channels.end(),
                  [](const auto& channel) { return channel->IsIdle(); });
  candidate.m_is_free =
      (has_idle || MayOpen(now)) && m_waits.size() < m_concurrency.Value();
  candidate.m_is_usable = !m_is_retired && !m_record.m_draining;
  candidate.m_is_home = m_settings.m_is_home;
  candidate.m_is_cold = now < m_cold_until;
  candidate.m_latency = m_observation.Latency(now);
  candidate.m_failure_share = m_observation.FailureShare(now);
  candidate.m_in_flight = static_cast<std::uint32_t>(m_waits.size());
  candidate.m_slots = m_record.m_slots;
  if (!m_waits.empty()) {
    candidate.m_oldest_wait = now - m_waits.front().m_since;
  }
  if (!candidate.m_is_free && m_channels.empty()) {
    candidate.m_open_delay = std::max(m_open_after - now, Duration::zero());
  }
  return candidate;
}

bool ReplicaPool::MayOpen(TimePoint now) const {
  return m_channels.size() < m_share && now >= m_open_after;
}

void ReplicaPool::NoteOpening(bool has_succeeded, TimePoint now) {
  if (has_succeeded) {
    m_open_backoff = Milliseconds(0);
    return;
  }
  m_open_backoff =
      std::clamp(m_open_backoff * 2, kFirstOpenBackoff, kLongestOpenBackoff);
  m_open_after = now + m_open_backoff;
}

std::shared_ptr<UpstreamChannel> ReplicaPool::TakeChannel(bool needs_fresh,
                                                          TimePoint now) {
  // The most recently used connection is the least likely to be closed by the
  // upstream
  std::shared_ptr<UpstreamChannel> best;
  for (const auto& channel : m_channels) {
    if (channel->IsIdle() &&
        (best == nullptr || channel->IdleSince() > best->IdleSince())) {
      best = channel;
    }
  }
  const bool is_fresh =
      best != nullptr && (!needs_fresh || now - best->IdleSince() < kFreshTime);
  if (is_fresh && best->IsReusable(now)) {
    return best;
  }
  if (best != nullptr) {
    best->Close();
    std::erase(m_channels, best);
  }

  auto opened = std::make_shared<UpstreamChannel>(
      m_context,
      boost::asio::ip::tcp::endpoint(
          boost::asio::ip::make_address(m_record.m_endpoint.m_address),
          m_record.m_endpoint.m_port),
      m_settings.m_id_header);
  m_channels.push_back(opened);
  return opened;
}

SentRequest ReplicaPool::Send(ChannelRequest request,
                              bool needs_fresh,
                              Handler handler) {
  const TimePoint now = BootClock().Now();
  const std::uint64_t serial = m_next_serial++;
  const auto channel = TakeChannel(needs_fresh, now);
  m_waits.push_back(Wait{serial, now, false});
  channel->Send(std::move(request),
                [self = shared_from_this(), serial, channel,
                 handler = std::move(handler)](ExchangeResult result) {
                  self->OnEnd(serial, *channel, std::move(result), handler);
                });
  return SentRequest(channel, serial);
}

void ReplicaPool::Abandon(const SentRequest& sent, TimePoint now) {
  const auto wait = std::find_if(
      m_waits.begin(), m_waits.end(),
      [&sent](const Wait& item) { return item.m_serial == sent.Serial(); });
  const auto channel = sent.Channel().lock();
  if (wait == m_waits.end() || channel == nullptr) {
    return;
  }
  wait->m_is_abandoned = true;
  channel->Abandon(now + kAbandonGrace);
}

ReplicaPool::Wait ReplicaPool::TakeWait(std::uint64_t serial) {
  const auto place = std::find_if(
      m_waits.begin(), m_waits.end(),
      [serial](const Wait& item) { return item.m_serial == serial; });
  JR_CHECK(place != m_waits.end());
  const Wait wait = *place;
  m_waits.erase(place);
  return wait;
}

ExchangeVerdict ReplicaPool::Judge(const ExchangeResult& result) const {
  if (result.m_end != ExchangeEnd::kAnswered) {
    return ExchangeVerdict::kFailed;
  }
  const UpstreamAnswer& answer = *result.m_answer;
  if (IsRefusal(answer, m_settings.m_not_run_header)) {
    return ExchangeVerdict::kRefused;
  }
  return answer.result_int() >= kFirstServerError ? ExchangeVerdict::kFailed
                                                  : ExchangeVerdict::kSuccess;
}

void ReplicaPool::Observe(ExchangeVerdict verdict,
                          Duration took,
                          TimePoint now) {
  m_observation.Record(verdict, took, now);
  switch (verdict) {
    case ExchangeVerdict::kSuccess:
      ++m_counts.m_answered;
      m_concurrency.RecordAnswer(took, now);
      return;
    case ExchangeVerdict::kRefused:
      ++m_counts.m_refused;
      m_concurrency.RecordRefusal(now);
      return;
    case ExchangeVerdict::kFailed:
      ++m_counts.m_failed;
      return;
  }
}

void ReplicaPool::OnEnd(std::uint64_t serial,
                        const UpstreamChannel& channel,
                        ExchangeResult result,
                        const Handler& handler) {
  const TimePoint now = BootClock().Now();
  const Wait wait = TakeWait(serial);
  if (result.m_end == ExchangeEnd::kAnswered ||
      (!channel.IsProven() && !wait.m_is_abandoned)) {
    NoteOpening(result.m_end == ExchangeEnd::kAnswered, now);
  }
  std::erase_if(m_channels,
                [](const auto& channel) { return channel->IsClosed(); });

  // A request that was abandoned before it was sent says nothing about the
  // replica
  if (!(wait.m_is_abandoned && result.m_end == ExchangeEnd::kNotSent)) {
    Observe(Judge(result), now - wait.m_since, now);
  }
  if (result.m_answer && result.m_answer->result_int() == kStatusMisdirected) {
    LogEvent(EventId::kReplicaMisdirected, "upstream={} address={}",
             m_record.m_id.Text(), m_record.m_endpoint.ToText());
    Retire();
  }
  if (!wait.m_is_abandoned) {
    handler(std::move(result));
  }
  m_on_capacity();
}

void ReplicaPool::CloseOverdue(TimePoint now) {
  const auto channels = m_channels;
  for (const auto& channel : channels) {
    channel->CloseOverdue(now);
  }
  std::erase_if(m_channels,
                [](const auto& channel) { return channel->IsClosed(); });
}

}  // namespace jackdawrack
