#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <vector>

#include "lease_keeper.h"
#include "peer/peer_router.h"
#include "policy/fleet_view.h"
#include "upstream/upstream_table.h"

namespace jackdawrack {

/// Runs non-idempotent requests at most once: as holder of the lease of the
/// key's slot, or as sender for a holder in another failure domain.
class RunRequestService final
    : public std::enable_shared_from_this<RunRequestService> {
 public:
  /// All references have to outlive this object.
  RunRequestService(FailureDomain domain,
                    const FleetViewHolder& holder,
                    UpstreamTable& table,
                    std::shared_ptr<LeaseKeeper> leases);

  /// Starts to serve; `router` has to outlive this object.
  void Start(PeerRouter& router);

  /// Runs a request or says what became of its key.
  void OnRunRequest(RunRequest request, PeerService::RunAnswerSink sink);

  /// Requests that were taken and are not answered.
  [[nodiscard]] std::size_t RunningCount() const { return m_running; }

 private:
  /// One way to send a request: to an upstream of this domain, or through an
  /// instance next to a replica in another one.
  struct Way {
    std::shared_ptr<UpstreamPool> m_pool;
    std::optional<Instance> m_sender;
  };

  /// A key that was admitted, until it is settled.
  struct Execution {
    RunRequest m_request;
    RunKey m_key;
    TimePoint m_deadline{};
    PeerService::RunAnswerSink m_sink;
    std::vector<Way> m_ways;
    std::size_t m_next_way = 0;
  };

  void RunAsHolder(RunRequest request, PeerService::RunAnswerSink sink);
  void Execute(RunRequest request,
               RunKey key,
               const HeldLease& lease,
               PeerService::RunAnswerSink sink);
  void SendNext(const std::shared_ptr<Execution>& execution);
  void SendThrough(const Instance& sender,
                   const std::shared_ptr<Execution>& execution);
  void OnSent(const std::shared_ptr<Execution>& execution, RunAnswer answer);
  void Settle(const Execution& execution, RunAnswer answer);
  [[nodiscard]] RunAnswer AnswerFromTable(const RunRequest& request,
                                          const RunKey& key) const;

  // Sends the request to one upstream of this domain, once.
  void SendHere(const RunRequest& request,
                const std::shared_ptr<UpstreamPool>& pool,
                TimePoint deadline,
                PeerService::RunAnswerSink sink);
  void SendForHolder(const RunRequest& request,
                     const PeerService::RunAnswerSink& sink);
  // Replicas of this domain that are not leaving
  [[nodiscard]] std::vector<std::shared_ptr<UpstreamPool>> LocalPools(
      const RunRequest& request);
  // Instances of other domains with a replica: owners of the block first
  [[nodiscard]] std::vector<Instance> Senders(const RunRequest& request) const;

  const FailureDomain m_domain;
  const FleetViewHolder& m_view_holder;
  UpstreamTable& m_table;
  const std::shared_ptr<LeaseKeeper> m_leases;
  PeerRouter* m_router = nullptr;
  std::atomic<std::size_t> m_running{0};
};

}  // namespace jackdawrack
