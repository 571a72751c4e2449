#include "run_request_service.h"

#include "core/check.h"
#include "core/event.h"
#include "core/hash.h"
#include "upstream/http_upstream_adapter.h"

namespace jackdawrack {
namespace {

/// Added to the attempt of a call that a holder passes on, so that it differs
/// from the call that it answers.
constexpr std::uint32_t kPassedOnAttempt = 1U << 16;

RunAnswer MakeAnswer(const RunRequest& request,
                     Outcome outcome,
                     std::string reason,
                     std::string result = {}) {
  RunAnswer answer;
  answer.m_call = request.m_call;
  answer.m_outcome = outcome;
  answer.m_reason = std::move(reason);
  answer.m_result = std::move(result);
  return answer;
}

// Everything that makes two requests of one key the same request.
std::uint64_t DigestOf(const RunRequest& request) {
  std::uint64_t digest = Hash64(request.m_body);
  digest = MixHash(digest, Hash64(request.m_collection.Text()));
  digest = MixHash(digest, Hash64(request.m_kind));
  return MixHash(digest, request.m_shard_key);
}

// Says "not run" only with a proof.
RunAnswer Judge(const RunRequest& request,
                UpstreamPool& pool,
                const UpstreamResult<HttpReply>& reply) {
  if (!reply) {
    return ProvesNotSent(reply.error().m_code)
               ? MakeAnswer(request, Outcome::kNotRun, "not_sent")
               : MakeAnswer(request, Outcome::kUnknown, "reply_lost");
  }
  UpstreamExecuteReply decoded =
      HttpUpstreamAdapter::DecodeExecute(reply.assume_value());
  if (decoded.m_report.m_is_draining) {
    pool.MarkDraining();
  }
  switch (decoded.m_status) {
    case UpstreamExecuteStatus::kRan:
      return MakeAnswer(request, Outcome::kRan, "",
                        std::move(decoded.m_result));
    case UpstreamExecuteStatus::kNotRun:
      return MakeAnswer(request, Outcome::kNotRun, "upstream_refused");
    case UpstreamExecuteStatus::kFailed:
      return MakeAnswer(request, Outcome::kUnknown, "upstream_failed");
  }
  return MakeAnswer(request, Outcome::kUnknown, "upstream_failed");
}

// The answer to a request that was not admitted; one whose outcome is
// remembered is answered elsewhere.
RunAnswer Refuse(const RunRequest& request, const RunAdmission& admission) {
  switch (admission.m_verdict) {
    case RunVerdict::kRunning:
      return MakeAnswer(request, Outcome::kUnknown, "running");
    case RunVerdict::kOtherBody:
      return MakeAnswer(request, Outcome::kUnknown, "key_reused");
    case RunVerdict::kFull:
      return MakeAnswer(request, Outcome::kNotRun, "owner_overloaded");
    case RunVerdict::kTooOld:
      return MakeAnswer(request, Outcome::kUnknown, "key_too_old");
    case RunVerdict::kTooNew:
      return MakeAnswer(request, Outcome::kUnknown, "key_from_future");
    case RunVerdict::kFromFuture:
      return MakeAnswer(request, Outcome::kNotRun, "key_from_future");
    case RunVerdict::kMoving: {
      RunAnswer answer = MakeAnswer(request, Outcome::kNotRun, "lease_moving");
      answer.m_is_retryable = true;
      return answer;
    }
    case RunVerdict::kRun:
    case RunVerdict::kSettled:
    case RunVerdict::kNoLease:
      break;
  }
  RunAnswer answer = MakeAnswer(request, Outcome::kUnknown, "no_lease");
  answer.m_is_retryable = true;
  answer.m_holder = admission.m_holder;
  return answer;
}

}  // namespace

RunRequestService::RunRequestService(FailureDomain domain,
                                     const FleetViewHolder& holder,
                                     UpstreamTable& table,
                                     std::shared_ptr<LeaseKeeper> leases)
    : m_domain(std::move(domain)),
      m_view_holder(holder),
      m_table(table),
      m_leases(std::move(leases)) {}

void RunRequestService::Start(PeerRouter& router) {
  m_router = &router;
  m_leases->Start(router);
}

void RunRequestService::OnRunRequest(RunRequest request,
                                     PeerService::RunAnswerSink sink) {
  ++m_running;
  auto counted = [self = shared_from_this(),
                  sink = std::move(sink)](RunAnswer answer) {
    --self->m_running;
    sink(std::move(answer));
  };
  if (request.m_not_after_ms != 0) {
    SendForHolder(request, counted);
  } else {
    RunAsHolder(std::move(request), std::move(counted));
  }
}

void RunRequestService::RunAsHolder(RunRequest request,
                                    PeerService::RunAnswerSink sink) {
  auto key = RunKey::Make(request.m_customer, request.m_idempotency_key);
  if (!key) {
    sink(MakeAnswer(request, Outcome::kUnknown, "bad_key"));
    return;
  }
  const RunAdmission admission = m_leases->Admit(*key, DigestOf(request));
  if (admission.m_verdict == RunVerdict::kRun) {
    JR_CHECK(admission.m_lease.has_value());
    Execute(std::move(request), std::move(*key), *admission.m_lease,
            std::move(sink));
  } else if (admission.m_verdict == RunVerdict::kSettled) {
    sink(AnswerFromTable(request, *key));
  } else {
    sink(Refuse(request, admission));
  }
}

RunAnswer RunRequestService::AnswerFromTable(const RunRequest& request,
                                             const RunKey& key) const {
  const std::optional<KeyRecord> record = m_leases->Find(key);
  if (!record) {
    return MakeAnswer(request, Outcome::kUnknown, "key_expired");
  }
  return MakeAnswer(request, record->m_outcome, "repeated", record->m_result);
}

void RunRequestService::Execute(RunRequest request,
                                RunKey key,
                                const HeldLease& lease,
                                PeerService::RunAnswerSink sink) {
  // Nothing may start after the end of the lease, here or at the upstream
  const SteadyClock clock;
  const TimePoint now = clock.Now();
  const Milliseconds remaining(request.m_remaining_ms);
  const TimePoint deadline = std::min(now + remaining, lease.m_end);
  request.m_not_after_ms = std::min(
      clock.WallNowMs() + RemainingMs(now, deadline), lease.m_wall_end);
  Execution execution{std::move(request), std::move(key), deadline,
                      std::move(sink)};

  // Send it from here, or through an instance next to a replica
  const RunRequest& run = execution.m_request;
  if (const auto pool = ChooseUpstream(run)) {
    SendHere(run, pool, deadline,
             [self = shared_from_this(), execution](RunAnswer answer) {
               self->Settle(execution, std::move(answer));
             });
    return;
  }
  const auto view = m_view_holder.Get();
  const Instance* sender = ChooseSender(*view, run);
  if (sender == nullptr) {
    Settle(execution, MakeAnswer(run, Outcome::kNotRun, "no_replica"));
    return;
  }
  RunRequest passed_on = run;
  passed_on.m_call.m_attempt += kPassedOnAttempt;
  m_router->Send(*sender, std::move(passed_on),
                 [self = shared_from_this(), execution](RunAnswer answer) {
                   // This was the only call for the key; unsent means not run
                   if (answer.m_is_retryable) {
                     answer.m_outcome = Outcome::kNotRun;
                     answer.m_is_retryable = false;
                   }
                   answer.m_call = execution.m_request.m_call;
                   self->Settle(execution, std::move(answer));
                 });
}

void RunRequestService::Settle(const Execution& execution, RunAnswer answer) {
  m_leases->Settle(execution.m_key, answer.m_outcome, answer.m_result);
  if (answer.m_outcome == Outcome::kUnknown) {
    LogEvent(EventId::kOutcomeUnknown, "request={} reason={}",
             answer.m_call.m_request.ToText(), answer.m_reason);
  }
  execution.m_sink(std::move(answer));
}

void RunRequestService::SendHere(const RunRequest& request,
                                 const std::shared_ptr<UpstreamPool>& pool,
                                 TimePoint deadline,
                                 PeerService::RunAnswerSink sink) {
  UpstreamExecute execute;
  execute.m_idempotency_key = request.m_idempotency_key;
  execute.m_collection = request.m_collection;
  execute.m_kind = request.m_kind;
  execute.m_shard_key = request.m_shard_key;
  execute.m_body = request.m_body;
  execute.m_not_after_ms = request.m_not_after_ms;
  pool->Submit(request.m_call.m_request.ToText(),
               HttpUpstreamAdapter::Encode(execute), deadline,
               [request, sink = std::move(sink),
                pool](const UpstreamResult<HttpReply>& reply) {
                 sink(Judge(request, *pool, reply));
               });
}

void RunRequestService::SendForHolder(const RunRequest& request,
                                      const PeerService::RunAnswerSink& sink) {
  const SteadyClock clock;
  const UnixMs remaining = request.m_not_after_ms - clock.WallNowMs();
  const std::shared_ptr<UpstreamPool> pool = ChooseUpstream(request);
  if (remaining <= 0 || pool == nullptr) {
    sink(MakeAnswer(request, Outcome::kNotRun,
                    pool == nullptr ? "no_replica" : "too_late"));
    return;
  }
  const Milliseconds bound(std::min<UnixMs>(remaining, request.m_remaining_ms));
  SendHere(request, pool, clock.Now() + bound, sink);
}

std::shared_ptr<UpstreamPool> RunRequestService::ChooseUpstream(
    const RunRequest& request) {
  const auto view = m_view_holder.Get();
  const auto collection = view->State().FindCollection(request.m_collection);
  if (collection == nullptr) {
    return nullptr;
  }
  const Shard& shard =
      collection->Shards()[collection->ShardAt(request.m_shard_key)];
  for (const std::uint32_t position : shard.m_replicas) {
    const Upstream& replica = collection->Upstreams()[position];
    if (replica.m_domain != m_domain ||
        replica.m_state != UpstreamState::kLive) {
      continue;
    }
    std::shared_ptr<UpstreamPool> pool = m_table.PoolFor(replica);
    if (!pool->Load().m_is_draining) {
      return pool;
    }
  }
  return nullptr;
}

// The owner of the shard's block in the domain of a replica.
const Instance* RunRequestService::ChooseSender(
    const FleetView& view,
    const RunRequest& request) const {
  const auto collection = view.State().FindCollection(request.m_collection);
  if (collection == nullptr) {
    return nullptr;
  }
  const std::size_t position = collection->ShardAt(request.m_shard_key);
  for (const std::uint32_t replica :
       collection->Shards()[position].m_replicas) {
    const Upstream& upstream = collection->Upstreams()[replica];
    if (upstream.m_domain == m_domain ||
        upstream.m_state != UpstreamState::kLive) {
      continue;
    }
    const Instance* owner = view.Owners().OwnerOf(
        collection->Name(), collection->BlockOfShard(position),
        upstream.m_domain);
    if (owner != nullptr) {
      return owner;
    }
  }
  return nullptr;
}

}  // namespace jackdawrack
