#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "model/instance.h"
#include "peer/peer_service.h"
#include "peer/peer_traffic.h"

namespace jackdawrack {

class PeerLink;

/// Calls one peer over one connection, opened on first use.
///
/// A call is failed, with what is proved of it, when the connection breaks or
/// its heartbeats stay unanswered. Methods may be called from any thread;
/// answers come on the client's strand.
class PeerClient final {
 public:
  /// An empty text means that no reply came.
  using ControlSink = PeerService::ControlSink;

  PeerClient(boost::asio::io_context& context,
             Instance target,
             Hello self,
             const PeerTraffic& traffic);
  ~PeerClient();

  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;

  /// Sends a sub-query; the sink gets parts until one is the last.
  void Send(SubQuery query, PeerService::SubAnswerSink sink);

  /// Sends a non-idempotent request, once, on one connection.
  void Send(RunRequest request, PeerService::RunAnswerSink sink);

  /// Forgets a sub-query and tells the peer.
  void Cancel(CallId call);

  /// Sends a JSON-RPC call.
  void Call(std::string text, ControlSink sink);

  /// Asks for parts of contracts; the sink is not called if no reply comes.
  void Ask(std::vector<ShareWish> wishes, PeerService::ShareSink sink);

  /// Sends a call about leases.
  void Call(LeaseCallBody body, PeerService::LeaseSink sink);

  /// Closes the connection; waiting calls fail.
  void Close();

  [[nodiscard]] const Instance& Target() const;

 private:
  std::shared_ptr<PeerLink> m_link;
};

}  // namespace jackdawrack
