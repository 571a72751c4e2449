#include "owner/owner_service.h"

#include <unordered_map>

#include "core/event.h"
#include "core/hash.h"
#include "policy/idempotency_table.h"
#include "sub_query_run.h"
#include "upstream/http_upstream_adapter.h"

namespace jackdawrack {
namespace {

constexpr Milliseconds kKeyWindow{600'000};
constexpr std::size_t kMaxKeys = 200'000;
constexpr Milliseconds kReconcileInterval{250};

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

}  // namespace

class OwnerService::Impl final : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& context,
       FailureDomain domain,
       const FleetViewHolder& holder,
       QueryPolicySettings query_policy,
       MetricsRegistry& metrics)
      : m_context(context),
        m_domain(std::move(domain)),
        m_holder(holder),
        m_sub_queries(metrics.CounterFor("jackdawrack_owner_sub_queries")),
        m_table(context, query_policy, metrics),
        m_reconcile_timer(context),
        m_keys(kKeyWindow, kMaxKeys) {}

  // Starts to compare the pools with what is published, at a fixed interval.
  void ScheduleReconcile() {
    m_reconcile_timer.expires_after(kReconcileInterval);
    m_reconcile_timer.async_wait([weak = weak_from_this()](auto error) {
      const auto self = weak.lock();
      if (!error && self != nullptr) {
        self->m_table.Reconcile(self->m_holder.Get()->State());
        self->ScheduleReconcile();
      }
    });
  }

  void OnSubQuery(SubQuery query, PeerService::SubAnswerSink sink) {
    m_sub_queries.Add();
    const CallId call = query.m_call;
    auto run = std::make_shared<SubQueryRun>(
        m_context, m_holder, m_domain, m_table, std::move(query),
        std::move(sink), [weak = weak_from_this(), call] {
          if (const auto self = weak.lock()) {
            self->Forget(call);
          }
        });
    {
      const std::lock_guard lock(m_mutex);
      m_runs[call] = run;
    }
    run->Start();
  }

  void OnCancel(CallId call) {
    std::shared_ptr<SubQueryRun> run;
    {
      const std::lock_guard lock(m_mutex);
      const auto found = m_runs.find(call);
      if (found != m_runs.end()) {
        run = found->second;
      }
    }
    if (run != nullptr) {
      run->Cancel();
    }
  }

  void OnRunRequest(RunRequest request, PeerService::RunAnswerSink sink) {
    const std::uint64_t digest = Hash64(request.m_body);
    switch (ClaimKey(request, digest)) {
      case KeyVerdict::kRun:
        Execute(std::move(request), std::move(sink));
        return;
      case KeyVerdict::kRunning:
        sink(MakeAnswer(request, Outcome::kUnknown, "running"));
        return;
      case KeyVerdict::kSettled:
        AnswerFromTable(request, sink);
        return;
      case KeyVerdict::kOtherBody:
        sink(MakeAnswer(request, Outcome::kUnknown, "key_reused"));
        return;
      case KeyVerdict::kFull:
        sink(MakeAnswer(request, Outcome::kNotRun, "owner_overloaded"));
        return;
    }
  }

 private:
  void Forget(CallId call) {
    const std::lock_guard lock(m_mutex);
    m_runs.erase(call);
  }

  KeyVerdict ClaimKey(const RunRequest& request, std::uint64_t digest) {
    const std::lock_guard lock(m_mutex);
    return m_keys.Claim(request.m_idempotency_key, digest, SteadyClock().Now());
  }

  void AnswerFromTable(const RunRequest& request,
                       const PeerService::RunAnswerSink& sink) {
    std::optional<KeyRecord> record;
    {
      const std::lock_guard lock(m_mutex);
      record = m_keys.Find(request.m_idempotency_key);
    }
    if (!record) {
      sink(MakeAnswer(request, Outcome::kUnknown, "key_expired"));
      return;
    }
    sink(MakeAnswer(request, record->m_outcome, "repeated", record->m_result));
  }

  // Sends the request to one upstream, once.
  void Execute(RunRequest request, PeerService::RunAnswerSink sink) {
    const std::shared_ptr<UpstreamPool> pool = ChooseUpstream(request);
    if (pool == nullptr) {
      Settle(request, sink,
             MakeAnswer(request, Outcome::kNotRun, "no_replica"));
      return;
    }
    const Milliseconds remaining(request.m_remaining_ms);
    const SteadyClock clock;
    UpstreamExecute execute;
    execute.m_idempotency_key = request.m_idempotency_key;
    execute.m_collection = request.m_collection;
    execute.m_kind = request.m_kind;
    execute.m_shard_key = request.m_shard_key;
    execute.m_body = request.m_body;
    execute.m_not_after_ms = clock.WallNowMs() + remaining.count();
    pool->Submit(request.m_call.m_request.ToText(),
                 HttpUpstreamAdapter::Encode(execute), clock.Now() + remaining,
                 [self = shared_from_this(), request, sink,
                  pool](const UpstreamResult<HttpReply>& reply) {
                   self->Settle(request, sink, Judge(request, *pool, reply));
                 });
  }

  // Says "not run" only with a proof.
  static RunAnswer Judge(const RunRequest& request,
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

  void Settle(const RunRequest& request,
              const PeerService::RunAnswerSink& sink,
              RunAnswer answer) {
    {
      const std::lock_guard lock(m_mutex);
      m_keys.Settle(request.m_idempotency_key, answer.m_outcome,
                    answer.m_result);
    }
    if (answer.m_outcome == Outcome::kUnknown) {
      LogEvent(EventId::kOutcomeUnknown, "request={} reason={}",
               request.m_call.m_request.ToText(), answer.m_reason);
    }
    sink(std::move(answer));
  }

  std::shared_ptr<UpstreamPool> ChooseUpstream(const RunRequest& request) {
    const auto view = m_holder.Get();
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

  boost::asio::io_context& m_context;
  const FailureDomain m_domain;
  const FleetViewHolder& m_holder;
  Counter& m_sub_queries;
  UpstreamTable m_table;
  boost::asio::steady_timer m_reconcile_timer;
  RankedMutex m_mutex{LockRank::kOwnerTable};
  std::unordered_map<CallId, std::shared_ptr<SubQueryRun>> m_runs;
  IdempotencyTable m_keys;
};

OwnerService::OwnerService(boost::asio::io_context& context,
                           FailureDomain domain,
                           const FleetViewHolder& holder,
                           QueryPolicySettings query_policy,
                           MetricsRegistry& metrics)
    : m_impl(std::make_shared<Impl>(context,
                                    std::move(domain),
                                    holder,
                                    query_policy,
                                    metrics)) {
  m_impl->ScheduleReconcile();
}

OwnerService::~OwnerService() = default;

void OwnerService::OnSubQuery(SubQuery query, PeerService::SubAnswerSink sink) {
  m_impl->OnSubQuery(std::move(query), std::move(sink));
}

void OwnerService::OnCancel(CallId call) {
  m_impl->OnCancel(call);
}

void OwnerService::OnRunRequest(RunRequest request,
                                PeerService::RunAnswerSink sink) {
  m_impl->OnRunRequest(std::move(request), std::move(sink));
}

}  // namespace jackdawrack
