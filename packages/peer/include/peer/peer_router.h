#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <unordered_map>

#include "core/ranked_mutex.h"
#include "peer/peer_client.h"

namespace jackdawrack {

/// Routes calls to instances. Keeps one client per peer; calls to this instance
/// are passed to the local service without a connection. Thread-safe.
class PeerRouter final {
 public:
  /// `local` handles the calls that this instance makes to itself.
  PeerRouter(boost::asio::io_context& context,
             Hello self,
             PeerService local,
             const PeerTraffic& traffic);

  /// Sends a sub-query. The sink is called for each part of the reply, up to
  /// the part with `m_is_last` set.
  void Send(const Instance& target,
            SubQuery query,
            PeerService::SubAnswerSink sink);

  /// Sends a non-idempotent request at most once.
  void Send(const Instance& target,
            RunRequest request,
            PeerService::RunAnswerSink sink);

  /// Cancels a sub-query.
  void Cancel(const Instance& target, CallId call);

  /// Sends a JSON-RPC call. The sink receives an empty text if it fails.
  void Call(const Instance& target,
            std::string text,
            PeerService::ControlSink sink);

  /// Requests shares of contracts from a peer. The sink is not called if the
  /// call fails. Has no local path, so `target` must not be this instance.
  void RequestShares(const Instance& target,
                     std::vector<ContractShare> shares,
                     PeerService::ShareSink sink);

  /// Sends a lease call.
  void Call(const Instance& target,
            LeaseCallBody body,
            PeerService::LeaseSink sink);

  /// Closes all connections.
  void Close();

 private:
  std::shared_ptr<PeerClient> ClientFor(const Instance& target);

  boost::asio::io_context& m_context;
  const Hello m_self;
  const PeerService m_local;
  const PeerTraffic m_traffic;
  RankedMutex m_mutex{LockRank::kPeerPool};
  std::unordered_map<InstanceId, std::shared_ptr<PeerClient>> m_clients;
};

}  // namespace jackdawrack
