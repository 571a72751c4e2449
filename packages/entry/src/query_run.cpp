#include "query_run.h"

#include <boost/asio/post.hpp>

#include "core/check.h"
#include "core/event.h"
#include "policy/direct_plan.h"

namespace jackdawrack {
namespace {

namespace asio = boost::asio;

/// Rounds in which missing ranges are asked for again.
constexpr std::uint32_t kMaxReplanRounds = 4;

/// Wait before the second round, doubled for each later one, so that a changing
/// map can arrive.
constexpr Milliseconds kReplanDelay{25};

/// Kept back from the deadline to send the answer.
constexpr Milliseconds kAnswerReserve{5};

/// Least time left in which asking again can still help.
constexpr Milliseconds kLeastRetryTime{10};

/// Transport time kept back from an owner, by where it is.
constexpr Milliseconds kLocalHopReserve{1};
constexpr Milliseconds kRemoteHopReserve{4};

// True when the reason proves that no upstream ran the work.
bool ProvesNotRun(MissReason reason) {
  return reason == MissReason::kUnreachable ||
         reason == MissReason::kNotOwned || reason == MissReason::kNoReplica ||
         reason == MissReason::kWrongVersion;
}

}  // namespace

QueryRun::QueryRun(asio::io_context& context,
                   PeerRouter& router,
                   const FleetViewHolder& holder,
                   QueryTables& tables,
                   QueryRunSpec spec,
                   DoneHandler on_done)
    : m_strand(asio::make_strand(context)),
      m_deadline_timer(m_strand),
      m_replan_timer(m_strand),
      m_hedge_timer(m_strand),
      m_router(router),
      m_holder(holder),
      m_tables(tables),
      m_spec(std::move(spec)),
      m_deadline(m_spec.m_started +
                 Milliseconds(m_spec.m_contract->DeadlineMs()) -
                 kAnswerReserve),
      m_on_done(std::move(on_done)),
      m_merge(m_spec.m_query.m_ranges,
              tables.Settings().m_snapshot_memory
                  ? tables.ChooseVersion(*m_spec.m_collection,
                                         m_spec.m_query.m_ranges)
                  : m_spec.m_collection->IndexVersion()),
      m_slow(tables.ReplicasToAvoid(m_spec.m_collection->Name())),
      m_on_trial(tables.ReplicasOnTrial(m_spec.m_collection->Name())) {}

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
    for (const PlannedSubQuery& share : self->Plan(ranges).m_sub_queries) {
      shards += share.m_ranges.size();
    }
    self->m_tables.EarnBudgets(*self->m_spec.m_contract, shards);
    self->SendTo(ranges);
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
  QueryPlan plan =
      PlanQuery(*view, *collection, ranges, m_spec.m_domain, m_tried, m_slow);
  if (m_spec.m_direct_self) {
    plan = MakeDirectPlan(std::move(plan), *m_spec.m_direct_self);
  }
  return plan;
}

void QueryRun::SendTo(const std::vector<KeyRange>& ranges) {
  QueryPlan plan = Plan(ranges);
  m_spec.m_trace->Planned(plan.m_sub_queries.size(), m_merge.IndexVersion(),
                          SteadyClock().Now());
  for (const KeyRange& range : plan.m_unplaced_ranges) {
    m_merge.RecordMiss(range, MissReason::kNoReplica);
  }
  for (PlannedSubQuery& share : plan.m_sub_queries) {
    SendTrials(share);
    if (!share.m_ranges.empty()) {
      SendShare(share, false);
    }
  }
  ScheduleHedge();
}

QueryRun::OpenCall& QueryRun::SendShare(const PlannedSubQuery& share,
                                        bool is_hedge) {
  const std::uint32_t attempt = ++m_last_attempt;
  const TimePoint now = SteadyClock().Now();
  const Milliseconds reserve = share.m_owner.m_domain == m_spec.m_domain
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
  query.m_ranges = share.m_ranges;
  for (const KeyRange& range : share.m_ranges) {
    m_tried.Add(share.m_owner.m_domain, range);
  }
  if (is_hedge) {
    m_spec.m_trace->Hedged(share.m_owner.m_id, share.m_ranges.size(), now);
  } else {
    m_spec.m_trace->Sent(share.m_owner.m_id, share.m_ranges.size(), now);
  }
  OpenCall call;
  call.m_owner = share.m_owner;
  call.m_unanswered = RangeSet(share.m_ranges);
  call.m_sent = now;
  call.m_is_hedge = is_hedge;
  OpenCall& open = m_open_calls.emplace(attempt, std::move(call)).first->second;
  m_router.Send(share.m_owner, std::move(query),
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
  const auto trial = m_overtaken_trials.find(answer.m_call.m_attempt);
  if (trial != m_overtaken_trials.end()) {
    RecordTrial(trial->second, answer);
    return;
  }
  if (m_is_finished || call == m_open_calls.end()) {
    m_tables.CountLateReply();
    m_spec.m_trace->LateReply();
    LogEvent(EventId::kLateReplyDropped, "request={}",
             m_spec.m_request.ToText());
    return;
  }
  TraceAnswer(call->second.m_owner.m_id, answer);
  for (const RangeAnswer& range : answer.m_ranges) {
    call->second.m_unanswered.Remove(range.m_range);
    OnRange(call->second, answer, range);
  }
  if (answer.m_is_last) {
    for (const KeyRange& range : call->second.m_unanswered.Ranges()) {
      m_merge.RecordMiss(range, MissReason::kFailed);
    }
    m_open_calls.erase(call);
  }
  HedgeRefusedElsewhere();
  if (!RestartOnOtherVersion()) {
    WithdrawCoveredCalls();
    ReplanIdleRanges();
  }
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

void QueryRun::OnRange(OpenCall& call,
                       const SubAnswer& answer,
                       const RangeAnswer& range) {
  m_tables.ReportVersions(m_spec.m_collection->Name(), range);
  if (range.m_reason != MissReason::kNone && call.m_is_hedge) {
    m_refused_hedges.push_back(range);
    return;
  }
  if (range.m_reason != MissReason::kNone) {
    m_merge.RecordMiss(range.m_range, range.m_reason);
    if (range.m_reason == MissReason::kOverloaded) {
      m_tables.RecordRefusal(m_spec.m_collection->Name(),
                             ReplicaOf(call.m_owner, range.m_range));
    }
    m_saw_wrong_version =
        m_saw_wrong_version || range.m_reason == MissReason::kWrongVersion;
    return;
  }
  m_tables.RecordLatency(m_spec.m_collection->Name(),
                         ReplicaOf(call.m_owner, range.m_range),
                         SteadyClock().Now() - call.m_sent);
  const bool is_taken =
      m_merge.Accept(range.m_range, answer.m_index_version, range.m_rows);
  if (is_taken && call.m_is_hedge) {
    m_tables.CountHedgeWin();
  }

  // A part that overlaps another one was dropped; the rest is asked for again
  if (!is_taken) {
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
      !m_tables.Settings().m_snapshot_restart) {
    return false;
  }

  // Choose the newest version that the upstreams serve
  const auto collection =
      m_holder.Get()->State().FindCollection(m_spec.m_collection->Name());
  const CollectionMap& newest =
      collection == nullptr ? *m_spec.m_collection : *collection;
  const std::uint64_t other =
      m_tables.ChooseVersion(newest, m_spec.m_query.m_ranges);
  if (other == m_merge.IndexVersion()) {
    return false;
  }

  // Keep what is covered if a second run would not end in time
  const TimePoint now = SteadyClock().Now();
  const Duration needed =
      std::max<Duration>(now - m_spec.m_started, kLeastRetryTime);
  if (now + needed > m_deadline) {
    return false;
  }
  m_was_restarted = true;
  LogEvent(EventId::kQueryRestarted, "request={} from={} to={}",
           m_spec.m_request.ToText(), m_merge.IndexVersion(), other);
  m_spec.m_trace->Restarted(other, SteadyClock().Now());
  WithdrawOpenCalls();
  m_merge.Restart(other);
  m_tried = TriedDomains();
  m_given_up = RangeSet();
  SendTo(m_spec.m_query.m_ranges);
  return true;
}

std::vector<MissingRange> QueryRun::IdleRanges() const {
  // Leave out what an open call may still answer and what was given up
  RangeSet busy = m_given_up;
  for (const auto& [attempt, call] : m_open_calls) {
    for (const KeyRange& range : call.m_unanswered.Ranges()) {
      busy.Add(range);
    }
  }
  std::vector<MissingRange> idle;
  for (const MissingRange& missing : m_merge.MissingRanges()) {
    for (const KeyRange& range : busy.MissingFrom(missing.m_range)) {
      idle.push_back(MissingRange{range, missing.m_reason});
    }
  }
  return idle;
}

bool QueryRun::MayAskAgain(MissReason reason) {
  if (ProvesNotRun(reason)) {
    return true;
  }
  if (reason != MissReason::kFailed && reason != MissReason::kOverloaded) {
    return false;
  }
  return m_tables.TakeRetry(*m_spec.m_contract);
}

void QueryRun::ReplanIdleRanges() {
  if (m_is_finished || m_is_replan_scheduled || !m_tables.Settings().m_replan) {
    return;
  }
  const TimePoint now = SteadyClock().Now();
  if (m_replan_rounds >= kMaxReplanRounds ||
      now + kLeastRetryTime > m_deadline) {
    return;
  }

  // Choose what is worth asking for again
  std::vector<KeyRange> again;
  for (const MissingRange& idle : IdleRanges()) {
    if (MayAskAgain(idle.m_reason)) {
      again.push_back(idle.m_range);
    } else {
      m_given_up.Add(idle.m_range);
    }
  }
  if (again.empty()) {
    return;
  }
  m_spec.m_trace->Retried(again.size(), now);

  // Ask at once in the first round, later ones wait for a newer map
  if (m_replan_rounds++ == 0) {
    SendTo(again);
    return;
  }
  m_is_replan_scheduled = true;
  m_replan_timer.expires_after(kReplanDelay * (1 << (m_replan_rounds - 2)));
  m_replan_timer.async_wait([self = shared_from_this(), again](auto error) {
    self->m_is_replan_scheduled = false;
    if (!error && !self->m_is_finished) {
      self->SendTo(again);
      self->ReplanIdleRanges();
      self->FinishIfDone();
    }
  });
}

void QueryRun::WithdrawOpenCalls() {
  const auto open = std::exchange(m_open_calls, {});
  for (const auto& [attempt, call] : open) {
    if (call.m_is_trial) {
      m_overtaken_trials.emplace(attempt, call);
      continue;
    }
    m_tables.CountCancel();
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
  RecordUnanswered();
  WithdrawOpenCalls();

  QueryAnswer answer;
  answer.m_request = m_spec.m_request;
  answer.m_index_version = m_merge.IndexVersion();
  answer.m_map_revision = m_spec.m_collection->Revision();
  answer.m_coverage = m_merge.Coverage();
  answer.m_is_sufficient =
      answer.m_coverage >= m_spec.m_contract->MinimumCoverage();
  answer.m_missing = m_merge.MissingRanges();
  answer.m_rows = m_merge.Rows();
  answer.m_took = SteadyClock().Now() - m_spec.m_started;
  JR_CHECK(answer.m_missing.empty() == m_merge.IsComplete());
  m_spec.m_trace->Finished(answer.m_missing.size(),
                           answer.m_missing.empty() ? "complete" : "partial",
                           SteadyClock().Now());
  m_on_done(std::move(answer));
}

}  // namespace jackdawrack
