#include "peer_link.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "core/check.h"
#include "core/event.h"
#include "net/outbound_address.h"

namespace jackdawrack {
namespace {

namespace asio = boost::asio;

constexpr Milliseconds kHeartbeatInterval{300};
constexpr std::uint64_t kMissedHeartbeatsAllowed = 4;
constexpr Milliseconds kHeartbeatLinger{10'000};
constexpr Milliseconds kIdleClose{5000};
constexpr Milliseconds kConnectTimeout{1000};
constexpr Milliseconds kReconnectDelay{200};
constexpr Milliseconds kGoodbyeDelay{1000};

}  // namespace

void PeerLink::Close() {
  asio::post(m_strand, [self = shared_from_this()] {
    self->m_closed = true;
    self->Drop();
  });
}

bool PeerLink::PrepareCall() {
  m_last_call_at = SteadyClock().Now();
  if (m_closed || m_last_call_at < m_no_connect_before) {
    return false;
  }
  if (m_connection == nullptr && !m_connecting) {
    Connect();
  }
  return true;
}

void PeerLink::Connect() {
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

void PeerLink::OnConnected(boost::system::error_code error,
                           asio::ip::tcp::socket socket) {
  m_connecting = false;
  if (error || m_closed || !socket.is_open()) {
    m_no_connect_before = SteadyClock().Now() + kReconnectDelay;
    FailAll();
    return;
  }
  m_connection = std::make_shared<PeerConnection>(std::move(socket), m_traffic);
  m_connection->Start(
      [self = shared_from_this()](PeerFrame frame) {
        std::visit([&](auto& message) { self->On(std::move(message)); }, frame);
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
  m_timer.expires_after(kHeartbeatInterval);
  m_timer.async_wait([self = shared_from_this()](auto error) {
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
  const bool is_in_use = now - m_last_request_at < kHeartbeatLinger;
  if (!HasWaitingCalls() && !is_in_use) {
    if (now - m_last_call_at > kIdleClose) {
      CloseIdle();
    } else {
      ScheduleHeartbeat();
    }
    return;
  }

  // Close the connection if too many heartbeats are unanswered
  if (m_heartbeats_sent - m_heartbeats_answered > kMissedHeartbeatsAllowed) {
    Drop();
    return;
  }
  m_connection->Send(Heartbeat{++m_heartbeats_sent});
  ScheduleHeartbeat();
}

void PeerLink::CloseIdle() {
  m_was_idle = true;
  m_ready = false;
  const auto connection = std::exchange(m_connection, nullptr);
  connection->Close();
}

void PeerLink::Drop() {
  if (m_connection != nullptr) {
    m_connection->Close();
  }
}

void PeerLink::OnClosed(const std::shared_ptr<PeerConnection>& connection) {
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

void PeerLink::On(Hello hello) {
  // Check that the address still belongs to the target instance; after a
  // restart, another instance may listen on it
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
  SendUnsent(m_controls);
  SendUnsent(m_share_requests);
  SendUnsent(m_lease_calls);
}

void PeerLink::On(Heartbeat heartbeat) {
  m_heartbeats_answered = std::max(m_heartbeats_answered, heartbeat.m_number);
}

void PeerLink::On(const Goodbye&) {
  m_is_leaving = true;
  m_no_connect_before = SteadyClock().Now() + kGoodbyeDelay;
  CloseIfDone();
}

void PeerLink::CloseIfDone() {
  if (m_is_leaving && !HasWaitingCalls()) {
    Drop();
  }
}

}  // namespace jackdawrack
