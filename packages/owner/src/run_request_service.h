#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <vector>

#include "lease_manager.h"
#include "peer/peer_router.h"
#include "policy/fleet_view.h"
#include "upstream/upstream_table.h"

namespace jackdawrack {

/// Runs non-idempotent requests at most once: either as the holder of the lease
/// of the key's slot, or as a relay that sends the request to a replica in its
/// failure domain on behalf of a lease holder in another one.
class RunRequestService final
    : public std::enable_shared_from_this<RunRequestService> {
 public:
  /// All references must outlive this object.
  RunRequestService(FailureDomain domain,
                    const FleetViewHolder& view_holder,
                    UpstreamTable& upstream_table,
                    std::shared_ptr<LeaseManager> lease_manager);

  /// Starts to acquire leases. `router` must outlive this object.
  void Start(PeerRouter& router);

  /// Runs a request, or answers with the recorded outcome of its key or with
  /// the reason why the request was refused.
  void OnRunRequest(RunRequest request, PeerService::RunAnswerSink sink);

  /// Number of requests that are not answered yet.
  [[nodiscard]] std::size_t RunningCount() const { return m_running_requests; }

 private:
  /// One target of a request: an upstream in this failure domain, or an
  /// instance that relays the request to a replica in another domain.
  struct SendTarget {
    std::shared_ptr<UpstreamPool> m_pool;
    std::optional<Instance> m_relay;
  };

  /// Run of an admitted key whose outcome is not recorded yet.
  struct Execution {
    RunRequest m_request;
    RunKey m_key;
    TimePoint m_deadline{};
    PeerService::RunAnswerSink m_sink;
    std::vector<SendTarget> m_targets;
    std::size_t m_next_target = 0;
  };

  void RunAsHolder(RunRequest request, PeerService::RunAnswerSink sink);
  void Execute(RunRequest request,
               RunKey key,
               const HeldLease& lease,
               PeerService::RunAnswerSink sink);
  void SendToNextTarget(const std::shared_ptr<Execution>& execution);
  void SendThroughRelay(const Instance& relay,
                        const std::shared_ptr<Execution>& execution);
  void OnTargetAnswer(const std::shared_ptr<Execution>& execution,
                      RunAnswer answer);
  void Finish(const Execution& execution, RunAnswer answer);
  [[nodiscard]] RunAnswer AnswerFromRecord(const RunRequest& request,
                                           const RunKey& key) const;

  // Sends the request to one upstream in this failure domain, once.
  void SendToLocalUpstream(const RunRequest& request,
                           const std::shared_ptr<UpstreamPool>& pool,
                           TimePoint deadline,
                           PeerService::RunAnswerSink sink);
  void RelayForHolder(const RunRequest& request,
                      const PeerService::RunAnswerSink& sink);
  // Returns the pools of the shard's live replicas in this failure domain,
  // without those that drain.
  [[nodiscard]] std::vector<std::shared_ptr<UpstreamPool>> LocalReplicaPools(
      const RunRequest& request);
  // Returns live instances of the other failure domains that have a live
  // replica of the shard, the owners of its block first.
  [[nodiscard]] std::vector<Instance> Relays(const RunRequest& request) const;

  const FailureDomain m_domain;
  const FleetViewHolder& m_view_holder;
  UpstreamTable& m_upstream_table;
  const std::shared_ptr<LeaseManager> m_lease_manager;
  PeerRouter* m_router = nullptr;
  std::atomic<std::size_t> m_running_requests{0};
};

}  // namespace jackdawrack
