#include "sub_request.h"

#include <algorithm>

#include "core/check.h"
#include "routing/record_merge.h"

namespace jackdawrack {
namespace {

/// Delay before a hedge is tried again for which no replica was free or that
/// the retry budget refused.
constexpr Milliseconds kHedgeRetryDelay{25};

/// Longest interval between two checks for a free connection.
constexpr Milliseconds kConnectionRetryDelay{15};

// True if the end of the connection, by which the response is framed, has come
// inside a record of a part.
bool EndsInsideRecord(const UpstreamResponse& response) {
  const bool is_framed = response.has_content_length() || response.chunked();
  return !is_framed && response.body().size() % kRecordBytes != 0;
}

bool IsSuccessStatus(unsigned status) {
  return status >= 200 && status < 300;
}

}  // namespace

bool SubRequestResult::IsSuccess() const {
  return m_outcome == SubRequestOutcome::kAnswered &&
         IsSuccessStatus(m_response->result_int());
}

SubRequest::SubRequest(const GatewayContext& context,
                       std::shared_ptr<const RoutedRequest> request,
                       const ServiceName& service,
                       Handler handler,
                       WakeListener on_earlier_wake)
    : m_context(context),
      m_request(std::move(request)),
      m_group(context.m_replicas.Group(service)),
      m_handler(std::move(handler)),
      m_on_earlier_wake(std::move(on_earlier_wake)) {}

void SubRequest::Start() {
  const TimePoint now = BootClock().Now();
  m_group.Budget().RecordRequest(now);
  if (m_request->IsIdempotent()) {
    m_wake_at =
        now + m_context.m_hedge_delays.DelayFor(m_request->m_route->m_name);
  }
  SendOrWait();
}

void SubRequest::SendOrWait() {
  const TimePoint now = BootClock().Now();
  const ReplicaPick pick = m_group.Choose(m_tried_replicas, now);
  if (pick.m_has_free_connection) {
    SendTo(pick.m_pool, m_delivered_attempts > 0 ? AttemptReason::kRetry
                                                 : AttemptReason::kFirst);
    return;
  }
  const bool is_worth_waiting = pick.m_pool == nullptr
                                    ? EndsSoon(m_group.PausedUntil(now))
                                    : !HasWaitedTooLong(now);
  if (is_worth_waiting) {
    WaitForConnection(now);
  } else {
    FinishWithFailure();
  }
}

bool SubRequest::EndsSoon(std::optional<TimePoint> pause_end) const {
  // Other instances may be free of the pause
  return pause_end &&
         *pause_end <=
             m_request->m_arrived_at + m_request->m_route->m_target_latency / 4;
}

bool SubRequest::HasWaitedTooLong(TimePoint now) const {
  // A caller that is refused within a quarter of the target latency loses
  // little time
  const Route& route = *m_request->m_route;
  return !m_request->IsIdempotent() &&
         now - m_request->m_arrived_at >= route.m_target_latency / 4;
}

void SubRequest::WaitForConnection(TimePoint now) {
  if (now + kConnectionRetryDelay < m_wake_at) {
    m_wake_at = now + kConnectionRetryDelay;
    m_on_earlier_wake(m_wake_at);
  }
  if (m_is_waiting) {
    return;
  }
  m_is_waiting = true;
  m_group.WaitForCapacity(weak_from_this(), [this] {
    m_is_waiting = false;
    if (!m_is_finished && !IsRunning()) {
      SendOrWait();
    }
  });
}

void SubRequest::SendTo(const std::shared_ptr<ReplicaConnectionPool>& pool,
                        AttemptReason reason) {
  // The deadline may have passed while the process was paused
  const TimePoint now = BootClock().Now();
  if (now >= m_request->m_deadline) {
    if (reason != AttemptReason::kFirst) {
      m_group.Budget().Refund();
    }
    return;
  }
  OutgoingRequest outgoing;
  outgoing.m_make_head = [request = m_request,
                          &headers = m_context.m_settings.m_headers,
                          id = pool->Record().m_id.Text()] {
    return MakeUpstreamHead(*request, headers, id, BootClock().Now());
  };
  outgoing.m_body = m_request->m_body;
  outgoing.m_request_id = m_request->m_request_id;
  outgoing.m_is_head_request = m_request->m_method == "HEAD";

  const std::size_t index = m_attempts.size();
  m_tried_replicas.push_back(pool->Record().m_id);
  ++m_delivered_attempts;
  Attempt attempt;
  attempt.m_pool = pool;
  attempt.m_reason = reason;
  attempt.m_sent_at = now;
  m_attempts.push_back(std::move(attempt));
  try {
    m_attempts[index].m_sent_request =
        pool->Send(std::move(outgoing), !m_request->IsIdempotent(),
                   [self = shared_from_this(), index](ExchangeResult result) {
                     self->OnAttemptEnded(index, std::move(result));
                   });
  } catch (...) {
    m_attempts[index].m_state = AttemptState::kNotSent;
    m_attempts[index].m_ended_at = now;
    --m_delivered_attempts;
    throw;
  }
}

bool SubRequest::IsRunning() const {
  return std::any_of(
      m_attempts.begin(), m_attempts.end(),
      [](const Attempt& attempt) { return attempt.IsRunning(); });
}

AttemptState SubRequest::Classify(const ExchangeResult& result) const {
  if (result.m_status == ExchangeStatus::kNotSent) {
    return AttemptState::kNotSent;
  }
  if (result.m_status == ExchangeStatus::kIncomplete) {
    return AttemptState::kFailed;
  }
  const HeaderNames& headers = m_context.m_settings.m_headers;
  const UpstreamResponse& response = *result.m_response;
  const unsigned status = response.result_int();
  if (IsRefusal(response, headers.m_not_run)) {
    return AttemptState::kRefused;
  }
  if (m_request->m_route->IsScattered() && EndsInsideRecord(response)) {
    return AttemptState::kFailed;
  }
  const bool is_repeatable_failure =
      status >= kFirstServerErrorStatus && m_request->IsIdempotent();
  return CanBeRelayed(response) && !is_repeatable_failure
             ? AttemptState::kAnswered
             : AttemptState::kFailed;
}

bool SubRequest::CanBeRelayed(const UpstreamResponse& response) const {
  // Without the field that says so, the upstream does not promise that the
  // request has not run, and neither must the response to the caller
  const std::string& signature = m_context.m_settings.m_headers.m_signature;
  return response.find(signature) != response.end() &&
         !PromisesNotRun(response.result_int());
}

void SubRequest::OnAttemptEnded(std::size_t index, ExchangeResult result) {
  const TimePoint now = BootClock().Now();
  Attempt& attempt = m_attempts[index];
  if (!attempt.IsRunning()) {
    return;
  }
  attempt.m_state = Classify(result);
  attempt.m_ended_at = now;
  attempt.m_connect_time = result.m_connect_time;
  attempt.m_status = result.m_response ? result.m_response->result_int() : 0;
  if (attempt.m_state != AttemptState::kAnswered) {
    OnAttemptFailed(attempt, std::move(result.m_response));
    return;
  }
  if (index == 0) {
    m_context.m_hedge_delays.Record(m_request->m_route->m_name,
                                    now - attempt.m_sent_at, now);
  }
  Finish({SubRequestOutcome::kAnswered, std::move(result.m_response)});
}

void SubRequest::OnAttemptFailed(const Attempt& attempt,
                                 std::optional<UpstreamResponse> response) {
  const AttemptState state = attempt.m_state;
  JR_CHECK(state != AttemptState::kAnswered && state != AttemptState::kRunning);
  if (state == AttemptState::kNotSent) {
    --m_delivered_attempts;
    if (attempt.m_reason != AttemptReason::kFirst) {
      m_group.Budget().Refund();
    }
  }
  if (state == AttemptState::kFailed) {
    m_may_have_executed = true;
  }
  if (state == AttemptState::kFailed && response && CanBeRelayed(*response)) {
    m_last_error_response = std::move(response);
  }
  if (!IsRunning()) {
    RetryOrFinish();
  }
}

void SubRequest::RetryOrFinish() {
  const TimePoint now = BootClock().Now();
  const bool may_repeat =
      (m_request->IsIdempotent() || !m_may_have_executed) &&
      m_delivered_attempts < m_request->m_route->m_max_attempts &&
      now < m_request->m_deadline;
  if (may_repeat && m_delivered_attempts == 0) {
    SendOrWait();
    return;
  }

  // Every attempt after the first draws on the retry budget
  const auto pool =
      may_repeat ? m_group.Choose(m_tried_replicas, now).PoolIfFree() : nullptr;
  if (pool != nullptr &&
      m_group.Budget().TryTake(RepeatPurpose::kRetry,
                               m_context.m_replicas.FleetSizeTotal(), now)) {
    SendTo(pool, AttemptReason::kRetry);
    return;
  }
  FinishWithFailure();
}

void SubRequest::FinishWithFailure() {
  m_retry_at = m_group.PausedUntil(BootClock().Now());
  Finish({m_may_have_executed ? SubRequestOutcome::kFailed
                              : SubRequestOutcome::kNotExecuted,
          std::move(m_last_error_response)});
}

void SubRequest::Wake(TimePoint now) {
  if (m_is_finished || now < m_wake_at) {
    return;
  }
  if (m_delivered_attempts == 0) {
    m_wake_at = now + kConnectionRetryDelay;
    if (!IsRunning()) {
      SendOrWait();
    }
    return;
  }
  if (!m_request->IsIdempotent() ||
      m_delivered_attempts >= m_request->m_route->m_max_attempts) {
    m_wake_at = TimePoint::max();
    return;
  }
  TrySendHedge(now);
}

void SubRequest::TrySendHedge(TimePoint now) {
  const ReplicaPick pick = m_group.Choose(m_tried_replicas, now);
  const auto pool = pick.PoolIfFree();
  if (pool == nullptr || pick.m_is_last_resort) {
    m_wake_at = now + kHedgeRetryDelay;
    return;
  }

  // The remaining wait is expected to be as long as the time waited so far, so
  // a hedge is worthwhile once that time approaches the other replica's latency
  const TimePoint worthwhile_at =
      m_attempts.back().m_sent_at + pool->Candidate(now).m_latency * 4 / 5;
  if (now < worthwhile_at) {
    m_wake_at = worthwhile_at;
    return;
  }
  m_wake_at = now + kHedgeRetryDelay;
  if (m_group.Budget().TryTake(RepeatPurpose::kHedge,
                               m_context.m_replicas.FleetSizeTotal(), now)) {
    SendTo(pool, AttemptReason::kHedge);
    m_wake_at =
        now + m_context.m_hedge_delays.DelayFor(m_request->m_route->m_name);
  }
}

void SubRequest::StopAttempts(TimePoint now) {
  for (Attempt& attempt : m_attempts) {
    if (attempt.IsRunning()) {
      attempt.m_state = AttemptState::kAbandoned;
      attempt.m_ended_at = now;
      attempt.m_pool->Abandon(attempt.m_sent_request, now);
    }
  }
}

void SubRequest::Stop(TimePoint now) {
  m_may_have_executed = m_may_have_executed || IsRunning();
  m_is_finished = true;
  m_wake_at = TimePoint::max();
  if (m_is_waiting) {
    m_is_waiting = false;
    m_group.StopWaiting(this);
  }
  StopAttempts(now);
}

void SubRequest::Finish(SubRequestResult result) {
  JR_CHECK(!m_is_finished);
  Stop(BootClock().Now());
  const Handler handler = std::move(m_handler);
  handler(std::move(result));
}

}  // namespace jackdawrack
