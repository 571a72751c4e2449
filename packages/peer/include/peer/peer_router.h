#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <unordered_map>

#include "core/ranked_mutex.h"
#include "peer/peer_client.h"

namespace jackdawrack {

/// Sends calls to instances by name; calls to this instance take no socket.
class PeerRouter final {
 public:
  /// `local` serves the calls that this instance makes to itself.
  PeerRouter(boost::asio::io_context& context,
             Hello self,
             PeerService local,
             const PeerTraffic& traffic);

  /// Sends a sub-query; the sink gets parts until one is the last.
  void Send(const Instance& target,
            SubQuery query,
            PeerService::SubAnswerSink sink);

  /// Sends a non-idempotent request, once.
  void Send(const Instance& target,
            RunRequest request,
            PeerService::RunAnswerSink sink);

  /// Withdraws a sub-query.
  void Cancel(const Instance& target, CallId call);

  /// Sends a JSON-RPC call; an empty reply means that none came.
  void Call(const Instance& target,
            std::string text,
            PeerService::ControlSink sink);

  /// Asks a peer for parts of contracts; the sink is not called if no reply
  /// comes.
  void Ask(const Instance& target,
           std::vector<ShareWish> wishes,
           PeerService::ShareSink sink);

  /// Sends a call about leases.
  void Call(const Instance& target,
            LeaseCallBody body,
            PeerService::LeaseSink sink);

  /// Closes every connection.
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
