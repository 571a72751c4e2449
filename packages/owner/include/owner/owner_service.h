#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>

#include "core/metrics.h"
#include "model/ids.h"
#include "model/query_policy_settings.h"
#include "peer/peer_router.h"
#include "peer/peer_service.h"
#include "policy/fleet_view.h"

namespace jackdawrack {

/// The owner role: holds the connections of its failure domain to the
/// upstreams of its blocks and runs what entries ask for.
class OwnerService final {
 public:
  /// `holder` and `metrics` have to outlive this object.
  OwnerService(boost::asio::io_context& context,
               LeaseHolderId self,
               FailureDomain domain,
               const FleetViewHolder& holder,
               QueryPolicySettings query_policy,
               MetricsRegistry& metrics);
  ~OwnerService();

  OwnerService(const OwnerService&) = delete;
  OwnerService& operator=(const OwnerService&) = delete;

  /// Asks the replicas of this domain for the ranges of a sub-query.
  void OnSubQuery(SubQuery query, PeerService::SubAnswerSink sink);

  /// Withdraws what a sub-query still waits for.
  void OnCancel(CallId call);

  /// Runs a non-idempotent request at most once.
  void OnRunRequest(RunRequest request, PeerService::RunAnswerSink sink);

  /// Answers a peer's call about leases.
  LeaseReplyBody OnLeaseCall(LeaseCallBody body);

  // Life

  /// Starts to ask for leases; `router` has to outlive this object.
  void Start(PeerRouter& router);

  /// Hands every lease over to the instances that are next preferred.
  void Leave();

  /// True once no lease is held after `Leave`.
  [[nodiscard]] bool HasLeft() const;

  /// True once this process votes on leases.
  [[nodiscard]] bool IsReady() const;

  /// Calls that were taken and are not answered.
  [[nodiscard]] std::size_t RunningCount() const;

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace jackdawrack
