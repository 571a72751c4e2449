#include "peer/peer_client.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <utility>

#include "core/check.h"
#include "core/clock.h"
#include "core/event.h"
#include "net/outbound_address.h"
#include "peer/peer_connection.h"

namespace jackdawrack {
namespace {

namespace asio = boost::asio;

constexpr Milliseconds kHeartbeatInterval{300};
constexpr std::uint64_t kMissedHeartbeatsAllowed = 4;

/// Time after the last request of a caller in which a connection is watched by
/// heartbeats although no call waits.
constexpr Milliseconds kHeartbeatLinger{10'000};

/// A connection without any call for this long is closed, so that control calls
/// to ever other peers leave none behind.
constexpr Milliseconds kIdleClose{5000};

constexpr Milliseconds kConnectTimeout{1000};
constexpr Milliseconds kReconnectDelay{200};
/// Time for which a peer that said goodbye is not connected to.
constexpr Milliseconds kGoodbyeDelay{1000};
constexpr std::size_t kMaxWaitingCalls = 20'000;

SubAnswer FailedAnswer(const SubQuery& query, MissReason reason) {
  SubAnswer answer;
  answer.m_call = query.m_call;
  answer.m_index_version = query.m_index_version;
  answer.m_is_last = true;
  for (const KeyRange& range : query.m_ranges) {
    answer.m_ranges.push_back(RangeAnswer{range, reason, {}, {}});
  }
  return answer;
}

RunAnswer FailedAnswer(const RunRequest& request, bool was_sent) {
  RunAnswer answer;
  answer.m_call = request.m_call;
  answer.m_outcome = Outcome::kUnknown;
  answer.m_reason = was_sent ? "owner_lost" : "owner_unreachable";
  answer.m_is_retryable = !was_sent;
  return answer;
}

}  // namespace

class PeerClient::Impl final : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& context,
       Instance target,
       Hello self,
       const PeerTraffic& traffic)
      : m_target(std::move(target)),
        m_self(std::move(self)),
        m_traffic(traffic),
        m_strand(asio::make_strand(context)),
        m_timer(m_strand),
        m_connect_timer(m_strand) {}

  void Send(SubQuery query, PeerService::SubAnswerSink sink) {
    asio::post(m_strand, [self = shared_from_this(), query = std::move(query),
                          sink = std::move(sink)]() mutable {
      self->SendSubQuery(std::move(query), std::move(sink));
    });
  }

  void Send(RunRequest request, PeerService::RunAnswerSink sink) {
    asio::post(m_strand,
               [self = shared_from_this(), request = std::move(request),
                sink = std::move(sink)]() mutable {
                 self->SendRunRequest(std::move(request), std::move(sink));
               });
  }

  void Cancel(CallId call) {
    asio::post(m_strand, [self = shared_from_this(), call] {
      self->m_queries.erase(call);
      if (self->m_ready) {
        self->m_connection->Send(jackdawrack::Cancel{call});
      }
      self->CloseIfDone();
    });
  }

  void Call(std::string text, ControlSink sink) {
    asio::post(m_strand, [self = shared_from_this(), text = std::move(text),
                          sink = std::move(sink)]() mutable {
      self->SendControl(std::move(text), std::move(sink));
    });
  }

  void Ask(std::vector<ShareWish> wishes, PeerService::ShareSink sink) {
    asio::post(m_strand, [self = shared_from_this(), wishes = std::move(wishes),
                          sink = std::move(sink)]() mutable {
      self->SendShareAsk(std::move(wishes), std::move(sink));
    });
  }

  void Call(LeaseCallBody body, PeerService::LeaseSink sink) {
    asio::post(m_strand, [self = shared_from_this(), body = std::move(body),
                          sink = std::move(sink)]() mutable {
      self->SendLeaseCall(std::move(body), std::move(sink));
    });
  }

  void Close() {
    asio::post(m_strand, [self = shared_from_this()] {
      self->m_closed = true;
      self->Drop();
    });
  }

  [[nodiscard]] const Instance& Target() const { return m_target; }

 private:
  struct WaitingQuery {
    SubQuery m_query;
    PeerService::SubAnswerSink m_sink;
  };

  struct WaitingRun {
    RunRequest m_request;
    PeerService::RunAnswerSink m_sink;
    bool m_was_sent = false;
  };

  void SendSubQuery(SubQuery query, PeerService::SubAnswerSink sink) {
    m_last_request_at = SteadyClock().Now();
    if (!PrepareCall() || m_queries.size() >= kMaxWaitingCalls) {
      sink(FailedAnswer(query, MissReason::kUnreachable));
      return;
    }
    const CallId call = query.m_call;
    const auto [entry, is_new] = m_queries.emplace(
        call, WaitingQuery{std::move(query), std::move(sink)});
    JR_CHECK(is_new);
    if (m_ready) {
      m_connection->Send(entry->second.m_query);
    }
  }

  void SendRunRequest(RunRequest request, PeerService::RunAnswerSink sink) {
    m_last_request_at = SteadyClock().Now();
    if (!PrepareCall()) {
      sink(FailedAnswer(request, false));
      return;
    }
    const CallId call = request.m_call;
    const auto [entry, is_new] =
        m_runs.emplace(call, WaitingRun{std::move(request), std::move(sink)});
    JR_CHECK(is_new);
    if (m_ready) {
      SendRun(entry->second);
    }
  }

  void SendRun(WaitingRun& run) {
    JR_CHECK(!run.m_was_sent);
    run.m_was_sent = true;
    m_connection->Send(run.m_request);
  }

  void SendControl(std::string text, ControlSink sink) {
    if (!PrepareCall()) {
      sink({});
      return;
    }
    ControlCall call{++m_last_control, std::move(text)};
    m_controls.emplace(call.m_number, std::move(sink));
    if (m_ready) {
      m_connection->Send(call);
    } else {
      m_unsent_controls.push_back(std::move(call));
    }
  }

  // Drops the ask while the peer is unreachable; asks are repeated often.
  void SendShareAsk(std::vector<ShareWish> wishes,
                    PeerService::ShareSink sink) {
    if (!PrepareCall()) {
      return;
    }
    ShareAsk ask{++m_last_share_ask, std::move(wishes)};
    m_share_asks.emplace(ask.m_number, std::move(sink));
    if (m_ready) {
      m_connection->Send(ask);
    } else {
      m_unsent_share_asks.push_back(std::move(ask));
    }
  }

  void SendLeaseCall(LeaseCallBody body, PeerService::LeaseSink sink) {
    if (!PrepareCall() || m_lease_calls.size() >= kMaxWaitingCalls) {
      sink(std::nullopt);
      return;
    }
    LeaseCall call{++m_last_lease_call, std::move(body)};
    m_lease_calls.emplace(call.m_number, std::move(sink));
    if (m_ready) {
      m_connection->Send(call);
    } else {
      m_unsent_lease_calls.push_back(std::move(call));
    }
  }

  // Starts to connect if need be; false while the peer is known unreachable.
  bool PrepareCall() {
    m_last_call_at = SteadyClock().Now();
    if (m_closed || m_last_call_at < m_no_connect_before) {
      return false;
    }
    if (m_connection == nullptr && !m_connecting) {
      Connect();
    }
    return true;
  }

  void Connect() {
    boost::system::error_code error;
    const asio::ip::tcp::endpoint endpoint(
        asio::ip::make_address(m_target.m_peer_endpoint.m_address, error),
        m_target.m_peer_endpoint.m_port);
    m_connecting = true;
    auto socket = std::make_shared<asio::ip::tcp::socket>(m_strand);
    BindOutboundAddress(*socket, error);
    socket->async_connect(
        endpoint, [self = shared_from_this(), socket](auto connect_error) {
          self->m_connect_timer.cancel();
          self->OnConnected(connect_error, std::move(*socket));
        });
    m_connect_timer.expires_after(kConnectTimeout);
    m_connect_timer.async_wait([socket](auto cancelled) {
      boost::system::error_code ignored;
      if (!cancelled) {
        socket->close(ignored);
      }
    });
  }

  void OnConnected(boost::system::error_code error,
                   asio::ip::tcp::socket socket) {
    m_connecting = false;
    if (error || m_closed || !socket.is_open()) {
      m_no_connect_before = SteadyClock().Now() + kReconnectDelay;
      FailAll();
      return;
    }
    m_connection =
        std::make_shared<PeerConnection>(std::move(socket), m_traffic);
    m_connection->Start(
        [self = shared_from_this()](PeerFrame frame) {
          std::visit([&](auto& message) { self->On(std::move(message)); },
                     frame);
        },
        [self = shared_from_this(), connection = m_connection] {
          self->OnClosed(connection);
        });
    m_connection->Send(m_self);
    m_heartbeats_sent = 0;
    m_heartbeats_answered = 0;
    ScheduleHeartbeat();
  }

  void ScheduleHeartbeat() {
    m_timer.expires_after(kHeartbeatInterval);
    m_timer.async_wait([self = shared_from_this()](auto error) {
      if (!error) {
        self->OnHeartbeatDue();
      }
    });
  }

  void OnHeartbeatDue() {
    if (m_connection == nullptr) {
      return;
    }
    // Close what nobody needs, and spare heartbeats where no call waits
    const TimePoint now = SteadyClock().Now();
    const bool is_in_use = now - m_last_request_at < kHeartbeatLinger;
    if (!HasWaitingCalls() && !is_in_use) {
      if (now - m_last_call_at > kIdleClose) {
        CloseIdle();
      } else {
        ScheduleHeartbeat();
      }
      return;
    }

    // Check if the connection has gone silent
    if (m_heartbeats_sent - m_heartbeats_answered > kMissedHeartbeatsAllowed) {
      Drop();
      return;
    }
    m_connection->Send(Heartbeat{++m_heartbeats_sent});
    ScheduleHeartbeat();
  }

  // Forgets the connection first, so that the next call opens another one.
  void CloseIdle() {
    m_was_idle = true;
    m_ready = false;
    const auto connection = std::exchange(m_connection, nullptr);
    connection->Close();
  }

  [[nodiscard]] bool HasWaitingCalls() const {
    return !m_queries.empty() || !m_runs.empty() || !m_controls.empty() ||
           !m_share_asks.empty() || !m_lease_calls.empty();
  }

  void Drop() {
    if (m_connection != nullptr) {
      m_connection->Close();
    }
  }

  void OnClosed(const std::shared_ptr<PeerConnection>& connection) {
    if (connection != m_connection) {
      return;
    }
    m_connection = nullptr;
    m_ready = false;
    m_timer.cancel();
    const Milliseconds delay = m_is_leaving ? kGoodbyeDelay : kReconnectDelay;
    m_no_connect_before = SteadyClock().Now() + delay;
    m_is_leaving = false;
    LogEvent(EventId::kPeerLost, "peer={} calls={}", m_target.m_id.Text(),
             m_queries.size() + m_runs.size());
    FailAll();
  }

  void FailAll() {
    const auto queries = std::exchange(m_queries, {});
    const auto runs = std::exchange(m_runs, {});
    const auto controls = std::exchange(m_controls, {});
    const auto lease_calls = std::exchange(m_lease_calls, {});
    m_unsent_lease_calls.clear();
    m_unsent_controls.clear();
    m_share_asks.clear();
    m_unsent_share_asks.clear();
    for (const auto& [call, waiting] : queries) {
      waiting.m_sink(FailedAnswer(waiting.m_query, MissReason::kUnreachable));
    }
    for (const auto& [call, waiting] : runs) {
      waiting.m_sink(FailedAnswer(waiting.m_request, waiting.m_was_sent));
    }
    for (const auto& [number, sink] : controls) {
      sink({});
    }
    for (const auto& [number, sink] : lease_calls) {
      sink(std::nullopt);
    }
  }

  void On(Hello hello) {
    // Check that the address still belongs to the instance that was meant
    if (hello.m_protocol != kPeerProtocolVersion ||
        hello.m_instance != m_target.m_id) {
      LogEvent(EventId::kPeerRefused, "peer={} answered={} protocol={}",
               m_target.m_id.Text(), hello.m_instance.Text(), hello.m_protocol);
      Drop();
      return;
    }
    if (!std::exchange(m_was_idle, false)) {
      LogEvent(EventId::kPeerConnected, "peer={}", m_target.m_id.Text());
    }
    m_ready = true;
    for (const auto& [call, waiting] : m_queries) {
      m_connection->Send(waiting.m_query);
    }
    for (auto& [call, waiting] : m_runs) {
      SendRun(waiting);
    }
    for (const ControlCall& control : m_unsent_controls) {
      m_connection->Send(control);
    }
    m_unsent_controls.clear();
    for (const ShareAsk& ask : m_unsent_share_asks) {
      m_connection->Send(ask);
    }
    m_unsent_share_asks.clear();
    for (const LeaseCall& call : m_unsent_lease_calls) {
      m_connection->Send(call);
    }
    m_unsent_lease_calls.clear();
  }

  void On(Heartbeat heartbeat) {
    m_heartbeats_answered = std::max(m_heartbeats_answered, heartbeat.m_number);
  }

  void On(SubAnswer answer) {
    const auto found = m_queries.find(answer.m_call);
    if (found == m_queries.end()) {
      LogEvent(EventId::kLateReplyDropped, "request={}",
               answer.m_call.m_request.ToText());
      return;
    }
    const PeerService::SubAnswerSink sink = found->second.m_sink;
    if (answer.m_is_last) {
      m_queries.erase(found);
    }
    sink(std::move(answer));
    CloseIfDone();
  }

  void On(RunAnswer answer) {
    const auto found = m_runs.find(answer.m_call);
    if (found == m_runs.end()) {
      LogEvent(EventId::kLateReplyDropped, "request={}",
               answer.m_call.m_request.ToText());
      return;
    }
    const PeerService::RunAnswerSink sink = std::move(found->second.m_sink);
    m_runs.erase(found);
    sink(std::move(answer));
    CloseIfDone();
  }

  void On(ControlReply reply) {
    const auto found = m_controls.find(reply.m_number);
    if (found == m_controls.end()) {
      return;
    }
    const ControlSink sink = std::move(found->second);
    m_controls.erase(found);
    sink(std::move(reply.m_text));
    CloseIfDone();
  }

  void On(ShareReply reply) {
    const auto found = m_share_asks.find(reply.m_number);
    if (found == m_share_asks.end()) {
      return;
    }
    const PeerService::ShareSink sink = std::move(found->second);
    m_share_asks.erase(found);
    sink(std::move(reply.m_grants));
    CloseIfDone();
  }

  void On(LeaseReply reply) {
    const auto found = m_lease_calls.find(reply.m_number);
    if (found == m_lease_calls.end()) {
      return;
    }
    const PeerService::LeaseSink sink = std::move(found->second);
    m_lease_calls.erase(found);
    sink(std::move(reply.m_body));
    CloseIfDone();
  }

  // Asks nothing more, and closes once everything is answered.
  void On(const Goodbye&) {
    m_is_leaving = true;
    m_no_connect_before = SteadyClock().Now() + kGoodbyeDelay;
    CloseIfDone();
  }

  void CloseIfDone() {
    const bool is_done = m_queries.empty() && m_runs.empty() &&
                         m_controls.empty() && m_lease_calls.empty() &&
                         m_share_asks.empty();
    if (m_is_leaving && is_done) {
      Drop();
    }
  }

  // Calls do not arrive on a dialled connection.
  void On(const SubQuery&) { Drop(); }
  void On(const jackdawrack::Cancel&) { Drop(); }
  void On(const RunRequest&) { Drop(); }
  void On(const ControlCall&) { Drop(); }
  void On(const ShareAsk&) { Drop(); }
  void On(const LeaseCall&) { Drop(); }

  const Instance m_target;
  const Hello m_self;
  const PeerTraffic m_traffic;
  asio::strand<asio::io_context::executor_type> m_strand;
  asio::steady_timer m_timer;
  asio::steady_timer m_connect_timer;

  // Connection
  std::shared_ptr<PeerConnection> m_connection;
  bool m_connecting = false;
  bool m_ready = false;
  bool m_closed = false;
  TimePoint m_no_connect_before{};
  TimePoint m_last_call_at{};
  TimePoint m_last_request_at{};
  /// True from a close for want of calls until the next connection is ready.
  bool m_was_idle = false;
  bool m_is_leaving = false;
  std::uint64_t m_heartbeats_sent = 0;
  std::uint64_t m_heartbeats_answered = 0;

  // Calls that wait for an answer
  std::unordered_map<CallId, WaitingQuery> m_queries;
  std::unordered_map<CallId, WaitingRun> m_runs;
  std::unordered_map<std::uint64_t, ControlSink> m_controls;
  std::vector<ControlCall> m_unsent_controls;
  std::uint64_t m_last_control = 0;
  std::unordered_map<std::uint64_t, PeerService::ShareSink> m_share_asks;
  std::vector<ShareAsk> m_unsent_share_asks;
  std::uint64_t m_last_share_ask = 0;
  std::unordered_map<std::uint64_t, PeerService::LeaseSink> m_lease_calls;
  std::vector<LeaseCall> m_unsent_lease_calls;
  std::uint64_t m_last_lease_call = 0;
};

PeerClient::PeerClient(asio::io_context& context,
                       Instance target,
                       Hello self,
                       const PeerTraffic& traffic)
    : m_impl(std::make_shared<Impl>(context,
                                    std::move(target),
                                    std::move(self),
                                    traffic)) {}

PeerClient::~PeerClient() {
  m_impl->Close();
}

void PeerClient::Send(SubQuery query, PeerService::SubAnswerSink sink) {
  m_impl->Send(std::move(query), std::move(sink));
}

void PeerClient::Send(RunRequest request, PeerService::RunAnswerSink sink) {
  m_impl->Send(std::move(request), std::move(sink));
}

void PeerClient::Cancel(CallId call) {
  m_impl->Cancel(call);
}

void PeerClient::Call(std::string text, ControlSink sink) {
  m_impl->Call(std::move(text), std::move(sink));
}

void PeerClient::Ask(std::vector<ShareWish> wishes,
                     PeerService::ShareSink sink) {
  m_impl->Ask(std::move(wishes), std::move(sink));
}

void PeerClient::Call(LeaseCallBody body, PeerService::LeaseSink sink) {
  m_impl->Call(std::move(body), std::move(sink));
}

void PeerClient::Close() {
  m_impl->Close();
}

const Instance& PeerClient::Target() const {
  return m_impl->Target();
}

}  // namespace jackdawrack
