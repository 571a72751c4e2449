#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <memory>
#include <unordered_map>
#include <vector>

#include "core/clock.h"
#include "model/instance.h"
#include "numbered_calls.h"
#include "peer/peer_connection.h"
#include "peer/peer_service.h"

namespace jackdawrack {

/// Implementation of `PeerClient`: the connection to one peer, opened on the
/// first call, and the pending calls. Private members are used on the strand
/// only.
class PeerLink final : public std::enable_shared_from_this<PeerLink> {
 public:
  PeerLink(boost::asio::io_context& context,
           Instance target,
           Hello self,
           const PeerTraffic& traffic)
      : m_target(std::move(target)),
        m_self(std::move(self)),
        m_traffic(traffic),
        m_strand(boost::asio::make_strand(context)),
        m_heartbeat_timer(m_strand),
        m_connect_timer(m_strand) {}

  // Thread-safe; see `PeerClient` for the documentation

  void Send(SubQuery query, PeerService::SubAnswerSink sink);
  void Send(RunRequest request, PeerService::RunAnswerSink sink);
  void Cancel(CallId call);
  void Call(std::string text, PeerService::ControlSink sink);
  void RequestShares(std::vector<ContractShare> shares,
                     PeerService::ShareSink sink);
  void Call(LeaseCallBody body, PeerService::LeaseSink sink);
  void Close();

  [[nodiscard]] const Instance& Target() const { return m_target; }

 private:
  struct PendingQuery {
    SubQuery m_query;
    PeerService::SubAnswerSink m_sink;
  };

  struct PendingRun {
    RunRequest m_request;
    PeerService::RunAnswerSink m_sink;
    bool m_was_sent = false;
  };

  // Outgoing calls

  void SendSubQuery(SubQuery query, PeerService::SubAnswerSink sink);
  void SendRunRequest(RunRequest request, PeerService::RunAnswerSink sink);
  void SendPendingRun(PendingRun& run);
  void SendControlCall(std::string text, PeerService::ControlSink sink);
  // Drops the call while the peer is unreachable, as it is repeated often.
  void SendShareRequest(std::vector<ContractShare> shares,
                        PeerService::ShareSink sink);
  void SendLeaseCall(LeaseCallBody body, PeerService::LeaseSink sink);

  // Numbers a call and sends it, at once or after the peer's hello.
  template <typename Call, typename Sink>
  void Submit(NumberedCalls<Call, Sink>& calls, Call call, Sink sink) {
    calls.Add(call, std::move(sink));
    if (m_is_ready) {
      m_connection->Send(call);
    } else {
      calls.QueueUnsent(std::move(call));
    }
  }

  template <typename Call, typename Sink>
  void SendUnsent(NumberedCalls<Call, Sink>& calls) {
    for (const Call& call : calls.TakeUnsent()) {
      m_connection->Send(call);
    }
  }

  // Connection management

  // Starts to connect if there is no connection. Returns false if the link is
  // closed, or if the delay after a failure or shutdown has not yet passed.
  bool EnsureConnecting();
  void Connect();
  void OnConnected(boost::system::error_code error,
                   boost::asio::ip::tcp::socket socket);
  void ScheduleHeartbeat();
  void OnHeartbeatDue();
  // Resets `m_connection` first, so that the next call opens a new one.
  void CloseIdle();
  void CloseIfDrained();
  void CloseConnection();
  void OnClosed(const std::shared_ptr<PeerConnection>& connection);
  void FailPendingCalls();
  [[nodiscard]] bool HasPendingCalls() const;

  // Incoming frames

  void HandleFrame(Hello hello);
  void HandleFrame(Heartbeat heartbeat);
  void HandleFrame(SubAnswer answer);
  void HandleFrame(RunAnswer answer);
  void HandleFrame(ControlReply reply);
  void HandleFrame(ShareReply reply);
  void HandleFrame(LeaseReply reply);
  // Sends no new calls, and closes the connection once none is pending.
  void HandleFrame(const Goodbye&);

  // A peer must not send calls on an outgoing connection.
  void HandleFrame(const SubQuery&) { CloseConnection(); }
  void HandleFrame(const jackdawrack::Cancel&) { CloseConnection(); }
  void HandleFrame(const RunRequest&) { CloseConnection(); }
  void HandleFrame(const ControlCall&) { CloseConnection(); }
  void HandleFrame(const ShareRequest&) { CloseConnection(); }
  void HandleFrame(const LeaseCall&) { CloseConnection(); }

  const Instance m_target;
  const Hello m_self;
  const PeerTraffic m_traffic;
  boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
  boost::asio::steady_timer m_heartbeat_timer;
  boost::asio::steady_timer m_connect_timer;

  // Connection state
  std::shared_ptr<PeerConnection> m_connection;
  bool m_is_connecting = false;
  bool m_is_ready = false;
  bool m_is_closed = false;
  TimePoint m_next_connect_at{};
  TimePoint m_last_call_at{};
  TimePoint m_last_request_at{};
  /// True from the time when an idle connection is closed until the next
  /// connection is ready; suppresses the log line of the reconnection.
  bool m_was_closed_idle = false;
  bool m_is_peer_stopping = false;
  std::uint64_t m_heartbeats_sent = 0;
  std::uint64_t m_heartbeats_answered = 0;

  // Pending calls
  std::unordered_map<CallId, PendingQuery> m_queries;
  std::unordered_map<CallId, PendingRun> m_runs;
  NumberedCalls<ControlCall, PeerService::ControlSink> m_control_calls;
  NumberedCalls<ShareRequest, PeerService::ShareSink> m_share_requests;
  NumberedCalls<LeaseCall, PeerService::LeaseSink> m_lease_calls;
};

}  // namespace jackdawrack
