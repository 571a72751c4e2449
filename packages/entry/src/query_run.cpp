#include "query_run.h"

#include <boost/asio/post.hpp>

#include "core/check.h"
#include "core/event.h"
#include "policy/direct_plan.h"

namespace jackdawrack {
namespace {

namespace asio = boost::asio;

/// Maximum number of retry rounds for missing ranges.
constexpr std::uint32_t kMaxReplanRounds = 4;

/// Delay before the second retry round, doubled for each later round, so that
/// an updated map can arrive.
constexpr Milliseconds kReplanDelay{25};

/// Time reserved before the deadline for sending the answer.
constexpr Milliseconds kAnswerReserve{5};

/// Minimum remaining time for which a retry is worthwhile.
constexpr Milliseconds kMinRetryTime{10};

/// Time reserved for transport to an owner in the same or another failure
/// domain.
constexpr Milliseconds kLocalHopReserve{1};
constexpr Milliseconds kRemoteHopReserve{4};

// True if the reason proves that no upstream executed the sub-query.
bool ProvesNotRun(MissReason reason) {
  return reason == MissReason::kUnreachable ||
         reason == MissReason::kNotOwned || reason == MissReason::kNoReplica ||
         reason == MissReason::kWrongVersion;
}

}  // namespace

QueryRun::QueryRun(asio::io_context& context,
                   PeerRouter& router,
                   const FleetViewHolder& holder,
                   SharedQueryState& state,
                   QueryRunSpec spec,
                   DoneHandler on_done)
    : m_strand(asio::make_strand(context)),
      m_deadline_timer(m_strand),
      m_replan_timer(m_strand),
      m_hedge_timer(m_strand),
      m_router(router),
      m_holder(holder),
      m_state(state),
      m_spec(std::move(spec)),
      m_deadline(m_spec.m_started +
                 Milliseconds(m_spec.m_contract->DeadlineMs()) -
                 kAnswerReserve),
      m_on_done(std::move(on_done)),
      m_merge(m_spec.m_query.m_ranges,
              state.Settings().m_snapshot_memory
                  ? state.ChooseVersion(*m_spec.m_collection,
                                        m_spec.m_query.m_ranges)
                  : m_spec.m_collection->IndexVersion()),
      m_replicas_to_avoid(state.ReplicasToAvoid(m_spec.m_collection->Name())),
      m_replicas_on_trial(state.ReplicasOnTrial(m_spec.m_collection->Name())) {}

void QueryRun::Start() {
  asio::post(m_strand, [self = shared_from_this()] {
    self->m_deadline_timer.expires_at(self->m_deadline);
    self->m_deadline_timer.async_wait([self](auto error) {
      if (!error && !self->m_is_finished) {
        self->Finish();
      }
    });
    const std::vector<KeyRange>& ranges = self->m_spec.m_query.m_ranges;
    std::size_t shards = 0;
    for (const PlannedSubQuery& planned : self->Plan(ranges).m_sub_queries) {
      shards += planned.m_ranges.size();
    }
    self->m_state.EarnBudgets(*self->m_spec.m_contract, shards);
    self->SendSubQueries(ranges);
    self->FinishIfDone();
  });
}

QueryPlan QueryRun::Plan(const std::vector<KeyRange>& ranges) const {
  const auto view = m_holder.Get();
  const auto collection =
      view->State().FindCollection(m_spec.m_collection->Name());
  if (collection == nullptr) {
    return QueryPlan{{}, ranges};
  }
  QueryPlan plan = PlanQuery(*view, *collection, ranges, m_spec.m_domain,
                             m_tried, m_replicas_to_avoid);
  if (m_spec.m_direct_self) {
    plan = MakeDirectPlan(std::move(plan), *m_spec.m_direct_self);
  }
  return plan;
}

void QueryRun::SendSubQueries(const std::vector<KeyRange>& ranges) {
  QueryPlan plan = Plan(ranges);
  m_spec.m_trace->RecordPlan(plan.m_sub_queries.size(), m_merge.IndexVersion(),
                             SteadyClock().Now());
  for (const KeyRange& range : plan.m_unplaced_ranges) {
    m_merge.RecordMiss(range, MissReason::kNoReplica);
  }
  for (PlannedSubQuery& planned : plan.m_sub_queries) {
    SendTrials(planned);
    if (!planned.m_ranges.empty()) {
      SendSubQuery(planned, false);
    }
  }
  ScheduleHedge();
}

QueryRun::OpenCall& QueryRun::SendSubQuery(const PlannedSubQuery& planned,
                                           bool is_hedge) {
  const std::uint32_t attempt = ++m_last_attempt;
  const TimePoint now = SteadyClock().Now();
  const Milliseconds reserve = planned.m_owner.m_domain == m_spec.m_domain
                                   ? kLocalHopReserve
                                   : kRemoteHopReserve;
  SubQuery query;
  query.m_call = CallId{m_spec.m_request, attempt};
  query.m_customer = m_spec.m_query.m_customer;
  query.m_collection = m_spec.m_collection->Name();
  query.m_body = m_spec.m_query.m_body;
  query.m_index_version = m_merge.IndexVersion();
  query.m_remaining_ms = RemainingMs(now, m_deadline - reserve);
  query.m_is_hedge = is_hedge;
  query.m_ranges = planned.m_ranges;
  for (const KeyRange& range : planned.m_ranges) {
    m_tried.Add(planned.m_owner.m_domain, range);
  }
  if (is_hedge) {
    m_spec.m_trace->RecordHedge(planned.m_owner.m_id, planned.m_ranges.size(),
                                now);
  } else {
    m_spec.m_trace->RecordSend(planned.m_owner.m_id, planned.m_ranges.size(),
                               now);
  }
  OpenCall call;
  call.m_owner = planned.m_owner;
  call.m_unanswered = RangeSet(planned.m_ranges);
  call.m_sent = now;
  call.m_is_hedge = is_hedge;
  OpenCall& open = m_open_calls.emplace(attempt, std::move(call)).first->second;
  m_router.Send(planned.m_owner, std::move(query),
                [self = shared_from_this()](SubAnswer answer) {
                  asio::post(self->m_strand,
                             [self, answer = std::move(answer)] {
                               self->OnAnswer(answer);
                             });
                });
  return open;
}

void QueryRun::OnAnswer(const SubAnswer& answer) {
  JR_CHECK(answer.m_call.m_request == m_spec.m_request);
  const auto call = m_open_calls.find(answer.m_call.m_attempt);
  const auto trial = m_superseded_trials.find(answer.m_call.m_attempt);
  if (trial != m_superseded_trials.end()) {
    RecordTrial(trial->second, answer);
    return;
  }
  if (m_is_finished || call == m_open_calls.end()) {
    m_state.CountLateReply();
    m_spec.m_trace->CountLateReply();
    LogEvent(EventId::kLateReplyDropped, "request={}",
             m_spec.m_request.ToText());
    return;
  }
  TraceAnswer(call->second.m_owner.m_id, answer);
  for (const RangeAnswer& range : answer.m_ranges) {
    call->second.m_unanswered.Remove(range.m_range);
    OnRangeAnswer(call->second, answer, range);
  }
  if (answer.m_is_last) {
    for (const KeyRange& range : call->second.m_unanswered.Ranges()) {
      m_merge.RecordMiss(range, MissReason::kFailed);
    }
    m_open_calls.erase(call);
  }
  ResendRefusedHedges();
  if (!RestartOnOtherVersion()) {
    CancelCoveredCalls();
    ReplanMissingRanges();
  }
  FinishIfDone();
}

void QueryRun::TraceAnswer(const InstanceId& owner, const SubAnswer& answer) {
  std::map<MissReason, std::size_t> counts;
  for (const RangeAnswer& range : answer.m_ranges) {
    ++counts[range.m_reason];
  }
  for (const auto& [reason, count] : counts) {
    m_spec.m_trace->RecordAnswer(owner, count, reason, SteadyClock().Now());
  }
}

void QueryRun::OnRangeAnswer(OpenCall& call,
                             const SubAnswer& answer,
                             const RangeAnswer& range) {
  m_state.ReportVersions(m_spec.m_collection->Name(), range);
  if (range.m_reason != MissReason::kNone && call.m_is_hedge) {
    m_refused_hedges.push_back(range);
    return;
  }
  if (range.m_reason != MissReason::kNone) {
    m_merge.RecordMiss(range.m_range, range.m_reason);
    if (range.m_reason == MissReason::kOverloaded) {
      m_state.RecordRefusal(m_spec.m_collection->Name(),
                            ReplicaOf(call.m_owner, range.m_range));
    }
    m_saw_wrong_version =
        m_saw_wrong_version || range.m_reason == MissReason::kWrongVersion;
    return;
  }
  m_state.RecordLatency(m_spec.m_collection->Name(),
                        ReplicaOf(call.m_owner, range.m_range),
                        SteadyClock().Now() - call.m_sent);
  const bool is_accepted =
      m_merge.Accept(range.m_range, answer.m_index_version, range.m_rows);
  if (is_accepted && call.m_is_hedge) {
    m_state.CountHedgeWin();
  }

  // An answer that overlaps covered keys was dropped; mark its uncovered rest
  // as missing, so that it is retried
  if (!is_accepted) {
    for (const KeyRange& rest : m_merge.Covered().MissingFrom(range.m_range)) {
      m_merge.RecordMiss(rest, MissReason::kNotOwned);
    }
  }
}

ReplicaKey QueryRun::ReplicaOf(const Instance& owner,
                               const KeyRange& range) const {
  const CollectionMap& collection = *m_spec.m_collection;
  const Shard& shard = collection.Shards()[collection.ShardAt(range.m_begin)];
  return ReplicaKey{owner.m_domain, shard.m_range.m_begin};
}

bool QueryRun::RestartOnOtherVersion() {
  if (!std::exchange(m_saw_wrong_version, false) || m_was_restarted ||
      !m_state.Settings().m_snapshot_restart) {
    return false;
  }

  // Choose the newest version that the upstreams serve for all ranges
  const auto collection =
      m_holder.Get()->State().FindCollection(m_spec.m_collection->Name());
  const CollectionMap& newest =
      collection == nullptr ? *m_spec.m_collection : *collection;
  const std::uint64_t other =
      m_state.ChooseVersion(newest, m_spec.m_query.m_ranges);
  if (other == m_merge.IndexVersion()) {
    return false;
  }

  // Keep the current answer if a restart would not finish before the deadline
  const TimePoint now = SteadyClock().Now();
  const Duration needed =
      std::max<Duration>(now - m_spec.m_started, kMinRetryTime);
  if (now + needed > m_deadline) {
    return false;
  }
  m_was_restarted = true;
  LogEvent(EventId::kQueryRestarted, "request={} from={} to={}",
           m_spec.m_request.ToText(), m_merge.IndexVersion(), other);
  m_spec.m_trace->RecordRestart(other, SteadyClock().Now());
  CancelOpenCalls();
  m_merge.Restart(other);
  m_tried = TriedDomains();
  m_abandoned_ranges = RangeSet();
  SendSubQueries(m_spec.m_query.m_ranges);
  return true;
}

std::vector<MissingRange> QueryRun::RetryCandidates() const {
  // Exclude ranges of open calls and ranges that are not retried any more
  RangeSet excluded_ranges = m_abandoned_ranges;
  for (const auto& [attempt, call] : m_open_calls) {
    for (const KeyRange& range : call.m_unanswered.Ranges()) {
      excluded_ranges.Add(range);
    }
  }
  std::vector<MissingRange> candidates;
  for (const MissingRange& missing : m_merge.MissingRanges()) {
    for (const KeyRange& range : excluded_ranges.MissingFrom(missing.m_range)) {
      candidates.push_back(MissingRange{range, missing.m_reason});
    }
  }
  return candidates;
}

bool QueryRun::TryAllowRetry(MissReason reason) {
  if (ProvesNotRun(reason)) {
    return true;
  }
  if (reason != MissReason::kFailed && reason != MissReason::kOverloaded) {
    return false;
  }
  return m_state.TrySpendRetry(*m_spec.m_contract);
}

void QueryRun::ReplanMissingRanges() {
  if (m_is_finished || m_is_replan_scheduled || !m_state.Settings().m_replan) {
    return;
  }
  const TimePoint now = SteadyClock().Now();
  if (m_replan_rounds >= kMaxReplanRounds || now + kMinRetryTime > m_deadline) {
    return;
  }

  // Select the ranges to retry
  std::vector<KeyRange> to_retry;
  for (const MissingRange& candidate : RetryCandidates()) {
    if (TryAllowRetry(candidate.m_reason)) {
      to_retry.push_back(candidate.m_range);
    } else {
      m_abandoned_ranges.Add(candidate.m_range);
    }
  }
  if (to_retry.empty()) {
    return;
  }
  m_spec.m_trace->RecordRetry(to_retry.size(), now);

  // The first round starts at once; later ones wait for an updated map
  if (m_replan_rounds++ == 0) {
    SendSubQueries(to_retry);
    return;
  }
  m_is_replan_scheduled = true;
  m_replan_timer.expires_after(kReplanDelay * (1 << (m_replan_rounds - 2)));
  m_replan_timer.async_wait([self = shared_from_this(), to_retry](auto error) {
    self->m_is_replan_scheduled = false;
    if (!error && !self->m_is_finished) {
      self->SendSubQueries(to_retry);
      self->ReplanMissingRanges();
      self->FinishIfDone();
    }
  });
}

void QueryRun::CancelOpenCalls() {
  const auto open = std::exchange(m_open_calls, {});
  for (const auto& [attempt, call] : open) {
    if (call.m_is_trial) {
      m_superseded_trials.emplace(attempt, call);
      continue;
    }
    m_state.CountCancel();
    m_router.Cancel(call.m_owner, CallId{m_spec.m_request, attempt});
  }
}

void QueryRun::FinishIfDone() {
  if (m_is_finished) {
    return;
  }
  if (m_merge.IsComplete() ||
      (m_open_calls.empty() && !m_is_replan_scheduled)) {
    Finish();
  }
}

void QueryRun::Finish() {
  JR_CHECK(!m_is_finished);
  m_is_finished = true;
  m_deadline_timer.cancel();
  m_replan_timer.cancel();
  m_hedge_timer.cancel();
  RecordUnansweredCalls();
  CancelOpenCalls();

  QueryAnswer answer;
  answer.m_request = m_spec.m_request;
  answer.m_index_version = m_merge.IndexVersion();
  answer.m_map_revision = m_spec.m_collection->Revision();
  answer.m_coverage = m_merge.Coverage();
  answer.m_is_sufficient =
      answer.m_coverage >= m_spec.m_contract->MinimumCoverage();
  answer.m_missing = m_merge.MissingRanges();
  answer.m_rows = m_merge.Rows();
  answer.m_elapsed = SteadyClock().Now() - m_spec.m_started;
  JR_CHECK(answer.m_missing.empty() == m_merge.IsComplete());
  m_spec.m_trace->RecordFinish(
      answer.m_missing.size(),
      answer.m_missing.empty() ? "complete" : "partial", SteadyClock().Now());
  m_on_done(std::move(answer));
}

}  // namespace jackdawrack
