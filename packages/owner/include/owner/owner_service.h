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

/// Owner role of an instance: keeps the connections to the upstreams of its
/// blocks in its failure domain, runs the requests that instances in the entry
/// role send, and manages this instance's leases.
class OwnerService final {
 public:
  /// `view_holder` and `metrics` must outlive this object.
  OwnerService(boost::asio::io_context& context,
               LeaseHolderId self,
               FailureDomain domain,
               const FleetViewHolder& view_holder,
               QueryPolicySettings query_policy,
               MetricsRegistry& metrics);
  ~OwnerService();

  OwnerService(const OwnerService&) = delete;
  OwnerService& operator=(const OwnerService&) = delete;

  /// Queries the replicas in this failure domain for the ranges of a sub-query.
  /// `sink` gets one or more partial answers, the last one marked.
  void OnSubQuery(SubQuery query, PeerService::SubAnswerSink sink);

  /// Cancels the upstream requests of a sub-query that have no reply yet.
  void OnCancel(CallId call);

  /// Runs a non-idempotent request at most once.
  void OnRunRequest(RunRequest request, PeerService::RunAnswerSink sink);

  /// Handles a peer's lease call and returns the reply.
  LeaseReplyBody OnLeaseCall(LeaseCallBody body);

  // Life cycle

  /// Starts to acquire leases. `router` must outlive this object.
  void Start(PeerRouter& router);

  /// Starts to hand every lease over to the next instance in the slot's
  /// preference order, and stops acquiring leases.
  void StartLeaseHandOver();

  /// Returns true once no lease is held after `StartLeaseHandOver`.
  [[nodiscard]] bool IsLeaseHandOverComplete() const;

  /// Returns true once this process votes on leases and new idempotency keys
  /// can run.
  [[nodiscard]] bool IsReady() const;

  /// Number of sub-queries and run requests that are not answered yet.
  [[nodiscard]] std::size_t RunningCount() const;

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace jackdawrack
