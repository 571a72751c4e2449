#include "part_run.h"

#include <algorithm>

#include "core/check.h"

namespace jackdawrack {
namespace {

/// Pause after which a hedge that the budget refused is tried again.
constexpr Milliseconds kHedgeRetryDelay{25};

/// Longest pause between two looks for a free connection.
constexpr Milliseconds kConnectionRetryDelay{15};

bool IsSuccessStatus(unsigned status) {
  return status >= 200 && status < 300;
}

}  // namespace

bool PartResult::IsSuccess() const {
  return m_end == PartEnd::kAnswered && IsSuccessStatus(m_answer->result_int());
}

PartRun::PartRun(const RunContext& context,
                 std::shared_ptr<const CallerCall> call,
                 const ServiceName& service,
                 Handler handler,
                 WakeListener on_earlier_wake)
    : m_context(context),
      m_call(std::move(call)),
      m_group(context.m_replicas.Group(service)),
      m_handler(std::move(handler)),
      m_on_earlier_wake(std::move(on_earlier_wake)) {}

void PartRun::Start() {
  const TimePoint now = BootClock().Now();
  m_group.Budget().RecordRequest(now);
  if (m_call->IsIdempotent()) {
    m_wake_at =
        now + m_context.m_hedge_delays.DelayFor(m_call->m_route->m_name);
  }
  SendOrWait();
}

void PartRun::SendOrWait() {
  const TimePoint now = BootClock().Now();
  const ReplicaPick pick = m_group.Choose(m_tried, now);
  if (pick.m_has_free_connection) {
    SendTo(pick.m_pool,
           m_arrivals > 0 ? AttemptReason::kRetry : AttemptReason::kFirst);
    return;
  }
  if (pick.m_pool == nullptr || HasWaitedTooLong(now)) {
    FinishUnanswered();
    return;
  }
  WaitForConnection(now);
}

bool PartRun::HasWaitedTooLong(TimePoint now) const {
  // Refused within a quarter of the target latency, a caller loses little
  const Route& route = *m_call->m_route;
  return !m_call->IsIdempotent() &&
         now - m_call->m_arrived_at >= route.m_target_latency / 4;
}

void PartRun::WaitForConnection(TimePoint now) {
  if (now + kConnectionRetryDelay < m_wake_at) {
    m_wake_at = now + kConnectionRetryDelay;
    m_on_earlier_wake();
  }
  if (m_is_waiting) {
    return;
  }
  m_is_waiting = true;
  m_group.WaitForCapacity(weak_from_this(), [this] {
    m_is_waiting = false;
    if (!m_is_over && !IsRunning()) {
      SendOrWait();
    }
  });
}

void PartRun::SendTo(const std::shared_ptr<ReplicaConnectionPool>& pool,
                     AttemptReason reason) {
  // A process that woke late sends nothing for which the time is over
  const TimePoint now = BootClock().Now();
  if (now >= m_call->m_final_at) {
    return;
  }
  OutgoingRequest request;
  request.m_make_head = [call = m_call,
                         &headers = m_context.m_settings.m_headers,
                         id = pool->Record().m_id.Text()] {
    return MakeUpstreamHead(*call, headers, id, BootClock().Now());
  };
  request.m_body = m_call->m_body;
  request.m_request_id = m_call->m_request_id;
  request.m_is_head_request = m_call->m_method == "HEAD";

  const std::size_t index = m_attempts.size();
  m_tried.push_back(pool->Record().m_id);
  ++m_arrivals;
  Attempt attempt;
  attempt.m_pool = pool;
  attempt.m_reason = reason;
  attempt.m_sent_at = now;
  m_attempts.push_back(std::move(attempt));
  m_attempts[index].m_sent =
      pool->Send(std::move(request), !m_call->IsIdempotent(),
                 [self = shared_from_this(), index](ExchangeResult result) {
                   self->OnEnd(index, std::move(result));
                 });
}

bool PartRun::IsRunning() const {
  return std::any_of(
      m_attempts.begin(), m_attempts.end(),
      [](const Attempt& attempt) { return attempt.IsRunning(); });
}

AttemptEnd PartRun::Classify(const ExchangeResult& result) const {
  if (result.m_outcome == ExchangeOutcome::kNotSent) {
    return AttemptEnd::kNotSent;
  }
  if (result.m_outcome == ExchangeOutcome::kIncomplete) {
    return AttemptEnd::kFailed;
  }
  const HeaderNames& headers = m_context.m_settings.m_headers;
  const UpstreamAnswer& answer = *result.m_answer;
  const unsigned status = answer.result_int();
  if (IsRefusal(answer, headers.m_not_run)) {
    return AttemptEnd::kRefused;
  }
  const bool is_signed = answer.find(headers.m_signature) != answer.end();
  const bool is_repeatable_failure =
      status >= kFirstServerError && m_call->IsIdempotent();
  return is_signed && !is_repeatable_failure ? AttemptEnd::kAnswered
                                             : AttemptEnd::kFailed;
}

void PartRun::OnEnd(std::size_t index, ExchangeResult result) {
  const TimePoint now = BootClock().Now();
  Attempt& attempt = m_attempts[index];
  if (!attempt.IsRunning()) {
    return;
  }
  attempt.m_end = Classify(result);
  attempt.m_ended_at = now;
  attempt.m_status = result.m_answer ? result.m_answer->result_int() : 0;
  if (attempt.m_end != AttemptEnd::kAnswered) {
    OnAttemptFailed(attempt, std::move(result.m_answer));
    return;
  }
  if (index == 0) {
    m_context.m_hedge_delays.Record(m_call->m_route->m_name,
                                    now - attempt.m_sent_at, now);
  }
  Finish({PartEnd::kAnswered, std::move(result.m_answer)});
}

void PartRun::OnAttemptFailed(const Attempt& attempt,
                              std::optional<UpstreamAnswer> answer) {
  const AttemptEnd end = attempt.m_end;
  JR_CHECK(end != AttemptEnd::kAnswered && end != AttemptEnd::kRunning);
  if (end == AttemptEnd::kNotSent) {
    --m_arrivals;
    if (attempt.m_reason != AttemptReason::kFirst) {
      m_group.Budget().GiveBack();
    }
  }
  if (end == AttemptEnd::kFailed) {
    m_may_have_run = true;
  }
  const std::string& signature = m_context.m_settings.m_headers.m_signature;
  if (end == AttemptEnd::kFailed && answer &&
      answer->find(signature) != answer->end()) {
    m_last_failure = std::move(answer);
  }
  if (!IsRunning()) {
    TryAgain();
  }
}

void PartRun::TryAgain() {
  const TimePoint now = BootClock().Now();
  const bool may_repeat = (m_call->IsIdempotent() || !m_may_have_run) &&
                          m_arrivals < m_call->m_route->m_max_attempts &&
                          now < m_call->m_final_at;
  if (may_repeat && m_arrivals == 0) {
    SendOrWait();
    return;
  }

  // A send beyond the first draws on the budget
  const auto pool =
      may_repeat ? m_group.Choose(m_tried, now).PoolIfFree() : nullptr;
  if (pool != nullptr &&
      m_group.Budget().TryTake(RepeatPurpose::kRetry,
                               m_context.m_replicas.FleetSizeTotal(), now)) {
    SendTo(pool, AttemptReason::kRetry);
    return;
  }
  FinishUnanswered();
}

void PartRun::FinishUnanswered() {
  Finish({m_may_have_run ? PartEnd::kFailed : PartEnd::kNotRun,
          std::move(m_last_failure)});
}

void PartRun::Wake(TimePoint now) {
  if (m_is_over || now < m_wake_at) {
    return;
  }
  if (m_arrivals == 0) {
    m_wake_at = now + kConnectionRetryDelay;
    if (!IsRunning()) {
      SendOrWait();
    }
    return;
  }
  if (!m_call->IsIdempotent() ||
      m_arrivals >= m_call->m_route->m_max_attempts) {
    m_wake_at = TimePoint::max();
    return;
  }
  HedgeIfWorth(now);
}

void PartRun::HedgeIfWorth(TimePoint now) {
  const auto pool = m_group.Choose(m_tried, now).PoolIfFree();
  if (pool == nullptr) {
    m_wake_at = now + kHedgeRetryDelay;
    return;
  }

  // A wait is expected to last as long again as it has lasted, so that another
  // replica pays once the wait has come up to its latency
  const TimePoint pays_at =
      m_attempts.back().m_sent_at + pool->Candidate(now).m_latency * 4 / 5;
  if (now < pays_at) {
    m_wake_at = pays_at;
    return;
  }
  m_wake_at = now + kHedgeRetryDelay;
  if (m_group.Budget().TryTake(RepeatPurpose::kHedge,
                               m_context.m_replicas.FleetSizeTotal(), now)) {
    SendTo(pool, AttemptReason::kHedge);
    m_wake_at =
        now + m_context.m_hedge_delays.DelayFor(m_call->m_route->m_name);
  }
}

void PartRun::StopAttempts(TimePoint now) {
  for (Attempt& attempt : m_attempts) {
    if (attempt.IsRunning()) {
      attempt.m_end = AttemptEnd::kAbandoned;
      attempt.m_ended_at = now;
      attempt.m_pool->Abandon(attempt.m_sent, now);
    }
  }
}

void PartRun::Stop(TimePoint now) {
  m_may_have_run = m_may_have_run || IsRunning();
  m_is_over = true;
  m_wake_at = TimePoint::max();
  if (m_is_waiting) {
    m_is_waiting = false;
    m_group.StopWaiting(this);
  }
  StopAttempts(now);
}

void PartRun::Finish(PartResult result) {
  JR_CHECK(!m_is_over);
  Stop(BootClock().Now());
  const Handler handler = std::move(m_handler);
  handler(std::move(result));
}

}  // namespace jackdawrack
