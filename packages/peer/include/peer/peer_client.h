#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "model/instance.h"
#include "peer/peer_service.h"
#include "peer/peer_traffic.h"

namespace jackdawrack {

class PeerLink;

/// Client for calls to one peer over a single connection, which is opened on
/// the first call.
///
/// Pending calls fail when the connection breaks or its heartbeats are not
/// answered; the reply to a `RunRequest` then tells whether it was sent.
/// Thread-safe. Sinks run on the client's strand.
class PeerClient final {
 public:
  /// Receives the reply, or an empty text if the call failed.
  using ControlSink = PeerService::ControlSink;

  PeerClient(boost::asio::io_context& context,
             Instance target,
             Hello self,
             const PeerTraffic& traffic);
  ~PeerClient();

  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;

  /// Sends a sub-query. The sink is called for each part of the reply, up to
  /// the part with `m_is_last` set.
  void Send(SubQuery query, PeerService::SubAnswerSink sink);

  /// Sends a non-idempotent request. It is never sent again on another
  /// connection.
  void Send(RunRequest request, PeerService::RunAnswerSink sink);

  /// Drops a pending sub-query, without calling its sink, and notifies the
  /// peer.
  void Cancel(CallId call);

  /// Sends a JSON-RPC call.
  void Call(std::string text, ControlSink sink);

  /// Requests shares of contracts. The sink is not called if the call fails.
  void RequestShares(std::vector<ContractShare> shares,
                     PeerService::ShareSink sink);

  /// Sends a lease call.
  void Call(LeaseCallBody body, PeerService::LeaseSink sink);

  /// Closes the connection. Pending calls fail, and so do all later ones.
  void Close();

  /// The peer.
  [[nodiscard]] const Instance& Target() const;

 private:
  std::shared_ptr<PeerLink> m_link;
};

}  // namespace jackdawrack
