#include "query_run.h"

#include <boost/asio/post.hpp>

#include "core/check.h"
#include "core/event.h"
#include "policy/direct_plan.h"

namespace jackdawrack {
namespace {

namespace asio = boost::asio;

/// Rounds in which missing ranges are asked for again.
constexpr std::uint32_t kMaxRetryRounds = 2;

/// Kept back from the deadline to send the answer.
constexpr Milliseconds kAnswerReserve{5};

bool IsWorthRetrying(MissReason reason) {
  return reason == MissReason::kUnreachable ||
         reason == MissReason::kNotOwned || reason == MissReason::kNoReplica ||
         reason == MissReason::kFailed;
}

}  // namespace

QueryRun::QueryRun(asio::io_context& context,
                   PeerRouter& router,
                   const FleetViewHolder& holder,
                   QueryRunSpec spec,
                   DoneHandler on_done)
    : m_strand(asio::make_strand(context)),
      m_deadline_timer(m_strand),
      m_router(router),
      m_holder(holder),
      m_spec(std::move(spec)),
      m_deadline(m_spec.m_started +
                 Milliseconds(m_spec.m_contract->DeadlineMs()) -
                 kAnswerReserve),
      m_on_done(std::move(on_done)),
      m_merge(m_spec.m_query.m_ranges, m_spec.m_collection->IndexVersion()) {}

void QueryRun::Start() {
  asio::post(m_strand, [self = shared_from_this()] {
    self->m_deadline_timer.expires_at(self->m_deadline);
    self->m_deadline_timer.async_wait([self](auto error) {
      if (!error && !self->m_is_finished) {
        self->Finish();
      }
    });
    self->SendTo(self->m_spec.m_query.m_ranges);
    self->FinishIfDone();
  });
}

void QueryRun::SendTo(const std::vector<KeyRange>& ranges) {
  const auto view = m_holder.Get();
  auto collection = view->State().FindCollection(m_spec.m_collection->Name());
  JR_CHECK(collection != nullptr);
  QueryPlan plan =
      PlanQuery(*view, *collection, ranges, m_spec.m_domain, m_tried);
  if (m_spec.m_direct_self) {
    plan = MakeDirectPlan(std::move(plan), *m_spec.m_direct_self);
  }
  m_spec.m_trace->Planned(plan.m_shares.size(), m_merge.IndexVersion(),
                          SteadyClock().Now());
  for (const KeyRange& range : plan.m_unplaced) {
    m_merge.Miss(range, MissReason::kNoReplica);
  }
  for (const OwnerShare& share : plan.m_shares) {
    SendShare(share);
  }
}

void QueryRun::SendShare(const OwnerShare& share) {
  const std::uint32_t attempt = ++m_last_attempt;
  SubQuery query;
  query.m_call = CallId{m_spec.m_request, attempt};
  query.m_customer = m_spec.m_query.m_customer;
  query.m_collection = m_spec.m_collection->Name();
  query.m_body = m_spec.m_query.m_body;
  query.m_index_version = m_merge.IndexVersion();
  query.m_remaining_ms = RemainingMs(SteadyClock().Now(), m_deadline);
  query.m_ranges = share.m_ranges;
  for (const KeyRange& range : share.m_ranges) {
    m_tried.Add(share.m_owner.m_domain, range);
  }
  m_spec.m_trace->Sent(share.m_owner.m_id, share.m_ranges.size(),
                       SteadyClock().Now());
  m_open_calls.emplace(attempt,
                       OpenCall{share.m_owner, RangeSet(share.m_ranges)});
  m_router.Send(share.m_owner, std::move(query),
                [self = shared_from_this()](SubAnswer answer) {
                  asio::post(self->m_strand,
                             [self, answer = std::move(answer)] {
                               self->OnAnswer(answer);
                             });
                });
}

void QueryRun::OnAnswer(const SubAnswer& answer) {
  JR_CHECK(answer.m_call.m_request == m_spec.m_request);
  const auto call = m_open_calls.find(answer.m_call.m_attempt);
  if (m_is_finished || call == m_open_calls.end()) {
    m_spec.m_trace->LateReply();
    LogEvent(EventId::kLateReplyDropped, "request={}",
             m_spec.m_request.ToText());
    return;
  }
  TraceAnswer(call->second.m_owner.m_id, answer);
  if (RestartOnOtherVersion(answer)) {
    return;
  }
  for (const RangeAnswer& range : answer.m_ranges) {
    call->second.m_unanswered.Remove(range.m_range);
    OnRange(answer, range);
  }
  if (answer.m_is_last) {
    for (const KeyRange& range : call->second.m_unanswered.Ranges()) {
      m_merge.Miss(range, MissReason::kFailed);
    }
    m_open_calls.erase(call);
  }
  RetryMissed();
  FinishIfDone();
}

void QueryRun::TraceAnswer(const InstanceId& owner, const SubAnswer& answer) {
  std::map<MissReason, std::size_t> counts;
  for (const RangeAnswer& range : answer.m_ranges) {
    ++counts[range.m_reason];
  }
  for (const auto& [reason, count] : counts) {
    m_spec.m_trace->Answered(owner, count, reason, SteadyClock().Now());
  }
}

void QueryRun::OnRange(const SubAnswer& answer, const RangeAnswer& range) {
  if (range.m_reason == MissReason::kNone) {
    m_merge.Accept(range.m_range, answer.m_index_version, range.m_rows);
    return;
  }
  m_merge.Miss(range.m_range, range.m_reason);
  if (IsWorthRetrying(range.m_reason)) {
    m_to_retry.push_back(range.m_range);
  }
}

void QueryRun::RetryMissed() {
  if (m_to_retry.empty() || m_retry_rounds >= kMaxRetryRounds) {
    return;
  }
  ++m_retry_rounds;
  m_spec.m_trace->Retried(m_to_retry.size(), SteadyClock().Now());
  SendTo(std::exchange(m_to_retry, {}));
}

bool QueryRun::RestartOnOtherVersion(const SubAnswer& answer) {
  bool is_wrong_version = false;
  for (const RangeAnswer& range : answer.m_ranges) {
    is_wrong_version =
        is_wrong_version || range.m_reason == MissReason::kWrongVersion;
  }
  if (!is_wrong_version || m_was_restarted) {
    return false;
  }

  // Choose the version that the upstreams serve, or the one published before
  const std::uint64_t other = answer.m_other_index_version != 0
                                  ? answer.m_other_index_version
                                  : m_spec.m_collection->PreviousIndexVersion();
  if (other == 0 || other == m_merge.IndexVersion()) {
    return false;
  }
  m_was_restarted = true;
  m_spec.m_trace->Restarted(other, SteadyClock().Now());
  WithdrawOpenCalls();
  m_merge.Restart(other);
  m_tried = TriedDomains();
  m_to_retry.clear();
  SendTo(m_spec.m_query.m_ranges);
  FinishIfDone();
  return true;
}

void QueryRun::WithdrawOpenCalls() {
  const auto open = std::exchange(m_open_calls, {});
  for (const auto& [attempt, call] : open) {
    m_router.Cancel(call.m_owner, CallId{m_spec.m_request, attempt});
  }
}

void QueryRun::FinishIfDone() {
  if (!m_is_finished && (m_merge.IsComplete() || m_open_calls.empty())) {
    Finish();
  }
}

void QueryRun::Finish() {
  JR_CHECK(!m_is_finished);
  m_is_finished = true;
  m_deadline_timer.cancel();
  WithdrawOpenCalls();

  QueryAnswer answer;
  answer.m_request = m_spec.m_request;
  answer.m_index_version = m_merge.IndexVersion();
  answer.m_map_revision = m_spec.m_collection->Revision();
  answer.m_coverage = m_merge.Coverage();
  answer.m_is_sufficient =
      answer.m_coverage >= m_spec.m_contract->MinimumCoverage();
  answer.m_missing = m_merge.Missing();
  answer.m_rows = m_merge.Rows();
  answer.m_took = SteadyClock().Now() - m_spec.m_started;
  JR_CHECK(answer.m_missing.empty() == m_merge.IsComplete());
  m_spec.m_trace->Finished(answer.m_missing.size(),
                           answer.m_missing.empty() ? "complete" : "partial",
                           SteadyClock().Now());
  m_on_done(std::move(answer));
}

}  // namespace jackdawrack
