#include "run_request_service.h"

#include <algorithm>

#include "core/check.h"
#include "core/event.h"
#include "core/hash.h"
#include "upstream/http_upstream_adapter.h"

namespace jackdawrack {
namespace {

/// Added to the attempt number for each target of a relayed call, so that its
/// call id differs from that of the call that it serves.
constexpr std::uint32_t kRelayAttemptStride = 1U << 16;

/// Maximum number of relay instances that are tried besides the owners of the
/// block.
constexpr std::size_t kMaxNonOwnerRelays = 4;

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

// Digest of the fields in which two requests with one key must be equal.
std::uint64_t RequestDigest(const RunRequest& request) {
  std::uint64_t digest = Hash64(request.m_body);
  digest = MixHash(digest, Hash64(request.m_collection.Text()));
  digest = MixHash(digest, Hash64(request.m_kind));
  return MixHash(digest, request.m_shard_key);
}

// Answers `kNotRun` only if the error or the reply proves that the upstream did
// not run the request.
RunAnswer AnswerFromReply(const RunRequest& request,
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

// Answers a request that was not admitted. `AnswerFromRecord` answers requests
// whose outcome is recorded.
RunAnswer RefusalFor(const RunRequest& request, const RunAdmission& admission) {
  switch (admission.m_verdict) {
    case RunVerdict::kRunning:
      return MakeAnswer(request, Outcome::kUnknown, "running");
    case RunVerdict::kBodyMismatch:
      return MakeAnswer(request, Outcome::kUnknown, "key_reused");
    case RunVerdict::kTableFull:
      return MakeAnswer(request, Outcome::kNotRun, "owner_overloaded");
    case RunVerdict::kTooOld:
      return MakeAnswer(request, Outcome::kUnknown, "key_too_old");
    case RunVerdict::kAheadOfClock:
      return MakeAnswer(request, Outcome::kUnknown, "key_from_future");
    case RunVerdict::kFarAheadOfClock:
      return MakeAnswer(request, Outcome::kNotRun, "key_from_future");
    case RunVerdict::kHandingOver: {
      RunAnswer answer = MakeAnswer(request, Outcome::kNotRun, "lease_moving");
      answer.m_is_retryable = true;
      return answer;
    }
    case RunVerdict::kRun:
    case RunVerdict::kFinished:
    case RunVerdict::kNoLease:
      break;
  }
  RunAnswer answer =
      MakeAnswer(request, Outcome::kUnknown,
                 admission.m_is_starting ? "owner_starting" : "no_lease");
  answer.m_is_retryable = true;
  answer.m_holder = admission.m_holder;
  return answer;
}

}  // namespace

RunRequestService::RunRequestService(
    FailureDomain domain,
    const FleetViewHolder& view_holder,
    UpstreamTable& upstream_table,
    std::shared_ptr<LeaseManager> lease_manager)
    : m_domain(std::move(domain)),
      m_view_holder(view_holder),
      m_upstream_table(upstream_table),
      m_lease_manager(std::move(lease_manager)) {}

void RunRequestService::Start(PeerRouter& router) {
  m_router = &router;
  m_lease_manager->Start(router);
}

void RunRequestService::OnRunRequest(RunRequest request,
                                     PeerService::RunAnswerSink sink) {
  ++m_running_requests;
  auto counting_sink = [self = shared_from_this(),
                        sink = std::move(sink)](RunAnswer answer) {
    --self->m_running_requests;
    sink(std::move(answer));
  };
  if (request.m_not_after_ms != 0) {
    RelayForHolder(request, counting_sink);
  } else {
    RunAsHolder(std::move(request), std::move(counting_sink));
  }
}

void RunRequestService::RunAsHolder(RunRequest request,
                                    PeerService::RunAnswerSink sink) {
  auto key = RunKey::Make(request.m_customer, request.m_idempotency_key);
  if (!key) {
    sink(MakeAnswer(request, Outcome::kUnknown, "bad_key"));
    return;
  }
  const RunAdmission admission =
      m_lease_manager->Admit(*key, RequestDigest(request));
  if (admission.m_verdict == RunVerdict::kRun) {
    JR_CHECK(admission.m_lease.has_value());
    Execute(std::move(request), std::move(*key), *admission.m_lease,
            std::move(sink));
  } else if (admission.m_verdict == RunVerdict::kFinished) {
    sink(AnswerFromRecord(request, *key));
  } else {
    sink(RefusalFor(request, admission));
  }
}

RunAnswer RunRequestService::AnswerFromRecord(const RunRequest& request,
                                              const RunKey& key) const {
  const std::optional<KeyRecord> record = m_lease_manager->FindKey(key);
  if (!record) {
    return MakeAnswer(request, Outcome::kUnknown, "key_expired");
  }
  return MakeAnswer(request, record->m_outcome, "repeated", record->m_result);
}

void RunRequestService::Execute(RunRequest request,
                                RunKey key,
                                const HeldLease& lease,
                                PeerService::RunAnswerSink sink) {
  // Limit both the local and the upstream's deadline to the end of the lease,
  // so that the request can't start after it
  const SteadyClock clock;
  const TimePoint now = clock.Now();
  const Milliseconds remaining(request.m_remaining_ms);
  const TimePoint deadline = std::min(now + remaining, lease.m_end);
  request.m_not_after_ms = std::min(
      clock.WallNowMs() + RemainingMs(now, deadline), lease.m_wall_end);

  // Local replicas first, then relays
  auto execution = std::make_shared<Execution>();
  for (const std::shared_ptr<UpstreamPool>& pool : LocalReplicaPools(request)) {
    execution->m_targets.push_back(SendTarget{pool, std::nullopt});
  }
  for (const Instance& relay : Relays(request)) {
    execution->m_targets.push_back(SendTarget{nullptr, relay});
  }
  execution->m_request = std::move(request);
  execution->m_key = std::move(key);
  execution->m_deadline = deadline;
  execution->m_sink = std::move(sink);
  SendToNextTarget(execution);
}

// Called for a further target only if the one before proved that it did not run
// the request.
void RunRequestService::SendToNextTarget(
    const std::shared_ptr<Execution>& execution) {
  if (execution->m_next_target == execution->m_targets.size()) {
    Finish(*execution,
           MakeAnswer(execution->m_request, Outcome::kNotRun, "no_replica"));
    return;
  }
  const SendTarget& target = execution->m_targets[execution->m_next_target];
  ++execution->m_next_target;
  if (target.m_pool == nullptr) {
    SendThroughRelay(*target.m_relay, execution);
    return;
  }
  SendToLocalUpstream(execution->m_request, target.m_pool,
                      execution->m_deadline,
                      [self = shared_from_this(), execution](RunAnswer answer) {
                        self->OnTargetAnswer(execution, std::move(answer));
                      });
}

void RunRequestService::SendThroughRelay(
    const Instance& relay,
    const std::shared_ptr<Execution>& execution) {
  RunRequest relayed = execution->m_request;
  relayed.m_call.m_attempt +=
      kRelayAttemptStride *
      static_cast<std::uint32_t>(execution->m_next_target);
  relayed.m_remaining_ms =
      RemainingMs(SteadyClock().Now(), execution->m_deadline);
  m_router->Send(relay, std::move(relayed),
                 [self = shared_from_this(), execution](RunAnswer answer) {
                   // A retryable answer means that this call ran nothing
                   if (answer.m_is_retryable) {
                     answer.m_outcome = Outcome::kNotRun;
                     answer.m_is_retryable = false;
                   }
                   answer.m_call = execution->m_request.m_call;
                   self->OnTargetAnswer(execution, std::move(answer));
                 });
}

void RunRequestService::OnTargetAnswer(
    const std::shared_ptr<Execution>& execution,
    RunAnswer answer) {
  const bool may_try_next =
      answer.m_outcome == Outcome::kNotRun &&
      execution->m_next_target < execution->m_targets.size() &&
      SteadyClock().Now() < execution->m_deadline;
  if (may_try_next) {
    SendToNextTarget(execution);
  } else {
    Finish(*execution, std::move(answer));
  }
}

void RunRequestService::Finish(const Execution& execution, RunAnswer answer) {
  m_lease_manager->RecordOutcome(execution.m_key, answer.m_outcome,
                                 answer.m_result);
  if (answer.m_outcome == Outcome::kUnknown) {
    LogEvent(EventId::kOutcomeUnknown, "request={} reason={}",
             answer.m_call.m_request.ToText(), answer.m_reason);
  }
  execution.m_sink(std::move(answer));
}

void RunRequestService::SendToLocalUpstream(
    const RunRequest& request,
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
                 sink(AnswerFromReply(request, *pool, reply));
               });
}

void RunRequestService::RelayForHolder(const RunRequest& request,
                                       const PeerService::RunAnswerSink& sink) {
  const SteadyClock clock;
  const UnixMs remaining = request.m_not_after_ms - clock.WallNowMs();
  if (remaining <= 0) {
    sink(MakeAnswer(request, Outcome::kNotRun, "too_late"));
    return;
  }
  const auto pools = LocalReplicaPools(request);
  if (pools.empty()) {
    sink(MakeAnswer(request, Outcome::kNotRun, "no_replica"));
    return;
  }
  const Milliseconds time_left(
      std::min<UnixMs>(remaining, request.m_remaining_ms));
  SendToLocalUpstream(request, pools.front(), clock.Now() + time_left, sink);
}

std::vector<std::shared_ptr<UpstreamPool>> RunRequestService::LocalReplicaPools(
    const RunRequest& request) {
  std::vector<std::shared_ptr<UpstreamPool>> pools;
  const auto view = m_view_holder.Get();
  const auto collection = view->State().FindCollection(request.m_collection);
  if (collection == nullptr) {
    return pools;
  }
  const std::size_t position = collection->ShardAt(request.m_shard_key);
  for (const std::uint32_t replica :
       collection->Shards()[position].m_replicas) {
    const Upstream& upstream = collection->Upstreams()[replica];
    if (upstream.m_domain != m_domain ||
        upstream.m_state != UpstreamState::kLive) {
      continue;
    }
    std::shared_ptr<UpstreamPool> pool =
        m_upstream_table.GetOrCreatePool(upstream);
    if (!pool->Load().m_is_draining) {
      pools.push_back(std::move(pool));
    }
  }
  return pools;
}

std::vector<Instance> RunRequestService::Relays(
    const RunRequest& request) const {
  std::vector<Instance> owners;
  std::vector<Instance> others;
  const auto view = m_view_holder.Get();
  const auto collection = view->State().FindCollection(request.m_collection);
  if (collection == nullptr) {
    return owners;
  }
  const std::size_t position = collection->ShardAt(request.m_shard_key);
  const std::size_t block = collection->BlockOfShard(position);
  for (const std::uint32_t replica :
       collection->Shards()[position].m_replicas) {
    const Upstream& upstream = collection->Upstreams()[replica];
    if (upstream.m_domain == m_domain ||
        upstream.m_state != UpstreamState::kLive) {
      continue;
    }
    const Instance* owner =
        view->Owners().OwnerOf(collection->Name(), block, upstream.m_domain);
    for (const Instance& instance :
         view->Owners().LiveInstances(upstream.m_domain)) {
      (&instance == owner ? owners : others).push_back(instance);
    }
  }
  owners.insert(owners.end(), others.begin(),
                others.begin() + std::min(others.size(), kMaxNonOwnerRelays));
  return owners;
}

}  // namespace jackdawrack
