#include "peer_link.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "core/check.h"
#include "core/event.h"
#include "net/outbound_address.h"
#include "net/tcp_endpoint.h"

namespace jackdawrack {
namespace {

namespace asio = boost::asio;

constexpr Milliseconds kHeartbeatInterval{300};
constexpr std::uint64_t kMaxMissedHeartbeats = 4;
constexpr Milliseconds kHeartbeatTimeAfterRequest{10'000};
constexpr Milliseconds kIdleTimeout{5000};
constexpr Milliseconds kConnectTimeout{1000};
constexpr Milliseconds kReconnectDelay{200};
constexpr Milliseconds kReconnectDelayAfterGoodbye{1000};

}  // namespace

void PeerLink::Close() {
  asio::post(m_strand, [self = shared_from_this()] {
    self->m_is_closed = true;
    self->CloseConnection();
  });
}

bool PeerLink::EnsureConnecting() {
  m_last_call_at = SteadyClock().Now();
  if (m_is_closed || m_last_call_at < m_next_connect_at) {
    return false;
  }
  if (m_connection == nullptr && !m_is_connecting) {
    Connect();
  }
  return true;
}

void PeerLink::Connect() {
  boost::system::error_code error;
  const auto endpoint = ToTcpEndpoint(m_target.m_peer_endpoint, error);
  auto socket = std::make_shared<asio::ip::tcp::socket>(m_strand);
  if (!error) {
    BindOutboundAddress(*socket, error);
  }
  m_is_connecting = true;
  if (error) {
    // Posted, as the caller has not registered its call yet
    asio::post(m_strand, [self = shared_from_this(), socket, error] {
      self->OnConnected(error, std::move(*socket));
    });
    return;
  }
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

void PeerLink::OnConnected(boost::system::error_code error,
                           asio::ip::tcp::socket socket) {
  m_is_connecting = false;
  if (error || m_is_closed || !socket.is_open()) {
    m_next_connect_at = SteadyClock().Now() + kReconnectDelay;
    FailPendingCalls();
    return;
  }
  m_connection = std::make_shared<PeerConnection>(std::move(socket), m_traffic);
  m_connection->Start(
      [self = shared_from_this()](PeerFrame frame) {
        std::visit(
            [&](auto& message) { self->HandleFrame(std::move(message)); },
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

void PeerLink::ScheduleHeartbeat() {
  m_heartbeat_timer.expires_after(kHeartbeatInterval);
  m_heartbeat_timer.async_wait([self = shared_from_this()](auto error) {
    if (!error) {
      self->OnHeartbeatDue();
    }
  });
}

void PeerLink::OnHeartbeatDue() {
  if (m_connection == nullptr) {
    return;
  }
  // Close an idle connection. While no call is pending and no request was sent
  // recently, send no heartbeats.
  const TimePoint now = SteadyClock().Now();
  const bool is_recently_used =
      now - m_last_request_at < kHeartbeatTimeAfterRequest;
  if (!HasPendingCalls() && !is_recently_used) {
    if (now - m_last_call_at > kIdleTimeout) {
      CloseIdle();
    } else {
      ScheduleHeartbeat();
    }
    return;
  }

  // Close the connection if too many heartbeats are unanswered
  if (m_heartbeats_sent - m_heartbeats_answered > kMaxMissedHeartbeats) {
    CloseConnection();
    return;
  }
  m_connection->Send(Heartbeat{++m_heartbeats_sent});
  ScheduleHeartbeat();
}

void PeerLink::CloseIdle() {
  m_was_closed_idle = true;
  m_is_ready = false;
  const auto connection = std::exchange(m_connection, nullptr);
  connection->Close();
}

void PeerLink::CloseConnection() {
  if (m_connection != nullptr) {
    m_connection->Close();
  }
}

void PeerLink::OnClosed(const std::shared_ptr<PeerConnection>& connection) {
  if (connection != m_connection) {
    return;
  }
  m_connection = nullptr;
  m_is_ready = false;
  m_heartbeat_timer.cancel();
  const Milliseconds delay =
      m_is_peer_stopping ? kReconnectDelayAfterGoodbye : kReconnectDelay;
  m_next_connect_at = SteadyClock().Now() + delay;
  m_is_peer_stopping = false;
  LogEvent(EventId::kPeerLost, "peer={} calls={}", m_target.m_id.Text(),
           m_queries.size() + m_runs.size());
  FailPendingCalls();
}

void PeerLink::HandleFrame(Hello hello) {
  // Check that the address still belongs to the target instance; after a
  // restart, another instance may listen on it. A peer sends its hello once;
  // another one would send the pending calls again.
  if (m_is_ready || hello.m_protocol != kPeerProtocolVersion ||
      hello.m_instance != m_target.m_id) {
    LogEvent(EventId::kPeerRefused, "peer={} answered={} protocol={}",
             m_target.m_id.Text(), hello.m_instance.Text(), hello.m_protocol);
    CloseConnection();
    return;
  }
  if (!std::exchange(m_was_closed_idle, false)) {
    LogEvent(EventId::kPeerConnected, "peer={}", m_target.m_id.Text());
  }
  m_is_ready = true;
  for (const auto& [call, waiting] : m_queries) {
    m_connection->Send(waiting.m_query);
  }
  for (auto& [call, waiting] : m_runs) {
    SendPendingRun(waiting);
  }
  SendUnsent(m_control_calls);
  SendUnsent(m_share_requests);
  SendUnsent(m_lease_calls);
}

void PeerLink::HandleFrame(Heartbeat heartbeat) {
  m_heartbeats_answered = std::max(m_heartbeats_answered, heartbeat.m_number);
}

void PeerLink::HandleFrame(const Goodbye&) {
  m_is_peer_stopping = true;
  m_next_connect_at = SteadyClock().Now() + kReconnectDelayAfterGoodbye;
  CloseIfDrained();
}

void PeerLink::CloseIfDrained() {
  if (m_is_peer_stopping && !HasPendingCalls()) {
    CloseConnection();
  }
}

}  // namespace jackdawrack
