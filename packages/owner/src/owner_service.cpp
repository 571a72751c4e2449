#include "owner/owner_service.h"

#include <unordered_map>

#include "core/run_logged.h"
#include "lease_manager.h"
#include "run_request_service.h"
#include "sub_query_run.h"

namespace jackdawrack {
namespace {

constexpr Milliseconds kReconcileInterval{250};

}  // namespace

class OwnerService::Impl final : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& context,
       LeaseHolderId self,
       FailureDomain domain,
       const FleetViewHolder& view_holder,
       QueryPolicySettings query_policy,
       MetricsRegistry& metrics)
      : m_context(context),
        m_domain(std::move(domain)),
        m_view_holder(view_holder),
        m_sub_query_counter(
            metrics.CounterFor("jackdawrack_owner_sub_queries")),
        m_upstream_table(context, query_policy, metrics),
        m_reconcile_timer(context),
        m_lease_manager(std::make_shared<LeaseManager>(context,
                                                       LeaseTiming(),
                                                       std::move(self),
                                                       view_holder)),
        m_run_requests(std::make_shared<RunRequestService>(m_domain,
                                                           view_holder,
                                                           m_upstream_table,
                                                           m_lease_manager)) {}

  // Compares the upstream pools with the published fleet state at a fixed
  // interval.
  void ScheduleReconcile() {
    m_reconcile_timer.expires_after(kReconcileInterval);
    m_reconcile_timer.async_wait([weak = weak_from_this()](auto error) {
      const auto self = weak.lock();
      if (!error && self != nullptr) {
        RunLogged("upstream pools", [&self] {
          self->m_upstream_table.Reconcile(self->m_view_holder.Get()->State());
        });
        self->ScheduleReconcile();
      }
    });
  }

  void OnSubQuery(SubQuery query, PeerService::SubAnswerSink sink) {
    m_sub_query_counter.Add();
    const CallId call = query.m_call;
    auto run = std::make_shared<SubQueryRun>(
        m_context, m_view_holder, m_domain, m_upstream_table, std::move(query),
        std::move(sink), [weak = weak_from_this(), call] {
          if (const auto self = weak.lock()) {
            self->RemoveSubQuery(call);
          }
        });
    {
      const std::lock_guard lock(m_mutex);
      m_sub_query_runs[call] = run;
    }
    run->Start();
  }

  void OnCancel(CallId call) {
    std::shared_ptr<SubQueryRun> run;
    {
      const std::lock_guard lock(m_mutex);
      const auto found = m_sub_query_runs.find(call);
      if (found != m_sub_query_runs.end()) {
        run = found->second;
      }
    }
    if (run != nullptr) {
      run->Cancel();
    }
  }

  [[nodiscard]] const std::shared_ptr<LeaseManager>& Leases() const {
    return m_lease_manager;
  }

  [[nodiscard]] const std::shared_ptr<RunRequestService>& RunRequests() const {
    return m_run_requests;
  }

  [[nodiscard]] std::size_t RunningCount() {
    const std::lock_guard lock(m_mutex);
    return m_sub_query_runs.size() + m_run_requests->RunningCount();
  }

 private:
  void RemoveSubQuery(CallId call) {
    const std::lock_guard lock(m_mutex);
    m_sub_query_runs.erase(call);
  }

  boost::asio::io_context& m_context;
  const FailureDomain m_domain;
  const FleetViewHolder& m_view_holder;
  Counter& m_sub_query_counter;
  UpstreamTable m_upstream_table;
  boost::asio::steady_timer m_reconcile_timer;
  RankedMutex m_mutex{LockRank::kOwnerTable};
  std::unordered_map<CallId, std::shared_ptr<SubQueryRun>> m_sub_query_runs;
  const std::shared_ptr<LeaseManager> m_lease_manager;
  const std::shared_ptr<RunRequestService> m_run_requests;
};

OwnerService::OwnerService(boost::asio::io_context& context,
                           LeaseHolderId self,
                           FailureDomain domain,
                           const FleetViewHolder& view_holder,
                           QueryPolicySettings query_policy,
                           MetricsRegistry& metrics)
    : m_impl(std::make_shared<Impl>(context,
                                    std::move(self),
                                    std::move(domain),
                                    view_holder,
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
  m_impl->RunRequests()->OnRunRequest(std::move(request), std::move(sink));
}

LeaseReplyBody OwnerService::OnLeaseCall(LeaseCallBody body) {
  return m_impl->Leases()->OnLeaseCall(std::move(body));
}

void OwnerService::Start(PeerRouter& router) {
  m_impl->RunRequests()->Start(router);
}

void OwnerService::StartLeaseHandOver() {
  m_impl->Leases()->StartLeaseHandOver();
}

bool OwnerService::IsLeaseHandOverComplete() const {
  return m_impl->Leases()->IsLeaseHandOverComplete();
}

bool OwnerService::IsReady() const {
  return m_impl->Leases()->IsReady();
}

std::size_t OwnerService::RunningCount() const {
  return m_impl->RunningCount();
}

}  // namespace jackdawrack
