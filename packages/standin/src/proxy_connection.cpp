#include "proxy_connection.h"

namespace jackdawrack {
namespace {

namespace asio = boost::asio;

/// Time after which keepalive finds that the other end is gone.
constexpr Milliseconds kKeepalive{5000};

// Closes so that the other end sees a reset.
void ResetSocket(asio::ip::tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

ProxyConnection::ProxyConnection(asio::ip::tcp::socket caller,
                                 std::shared_ptr<const ProxyLink> link,
                                 FaultPlan& plan)
    : m_caller(std::move(caller)),
      m_target(m_caller.get_executor()),
      m_link(std::move(link)),
      m_plan(plan),
      m_keepalive_timer(m_caller.get_executor()) {
  boost::system::error_code ignored;
  m_source = m_caller.remote_endpoint(ignored).address().to_string();
  m_caller.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void ProxyConnection::Start() {
  ApplyRules();
  if (m_is_closed || m_is_silent) {
    return;
  }
  const asio::ip::tcp::endpoint target(
      asio::ip::make_address(m_link->m_target.m_address),
      m_link->m_target.m_port);
  m_target.async_connect(target, [self = shared_from_this()](auto error) {
    self->OnConnected(error);
  });
}

void ProxyConnection::ApplyRules() {
  if (m_plan.Has(ProxyFault::kCut, *m_link, m_source)) {
    Reset();
  } else if (m_plan.Has(ProxyFault::kBlackhole, *m_link, m_source)) {
    Silence();
  }
}

void ProxyConnection::SilenceIf(const ProxyMatch& match) {
  if (match.Matches(*m_link, m_source)) {
    Silence();
  }
}

void ProxyConnection::OnConnected(const boost::system::error_code& error) {
  if (m_is_closed || m_is_silent) {
    return;
  }
  if (error) {
    Reset();
    return;
  }
  boost::system::error_code ignored;
  m_target.set_option(asio::ip::tcp::no_delay(true), ignored);
  StartPumps();
}

void ProxyConnection::StartPumps() {
  const auto draw_delay = [this] {
    return m_plan.DrawDelay(*m_link, m_source);
  };
  const auto on_error = [this] { Reset(); };
  const auto on_end = [this] { OnEnd(); };
  const bool has_frames =
      m_plan.Has(ProxyFault::kShuffleFrames, *m_link, m_source);
  m_requests = std::make_shared<ProxyPump>(m_caller, m_target);
  m_replies = std::make_shared<ProxyPump>(m_target, m_caller);
  m_requests->Start(
      draw_delay, [](const std::string& bytes) { return bytes; }, on_error,
      on_end);
  m_replies->Start(
      draw_delay,
      [this, has_frames](const std::string& bytes) {
        return has_frames ? m_shuffler.Feed(bytes,
                                            [this] {
                                              return m_plan.DrawShuffle(
                                                  *m_link, m_source);
                                            })
                          : bytes;
      },
      on_error, on_end);
}

void ProxyConnection::Silence() {
  m_is_silent = true;
  if (m_requests != nullptr) {
    m_requests->Silence();
    m_replies->Silence();
  }
}

void ProxyConnection::OnEnd() {
  if (m_requests->HasEnded() && m_replies->HasEnded()) {
    Reset();
    return;
  }
  if (!m_is_silent) {
    return;
  }
  // Only its keepalive tells the other end of a silent connection
  m_keepalive_timer.expires_after(kKeepalive);
  m_keepalive_timer.async_wait([self = shared_from_this()](auto error) {
    if (!error) {
      self->Reset();
    }
  });
}

void ProxyConnection::Reset() {
  m_is_closed = true;
  m_keepalive_timer.cancel();
  if (m_requests != nullptr) {
    m_requests->Stop();
    m_replies->Stop();
  }
  ResetSocket(m_caller);
  ResetSocket(m_target);

  // Outlive the handlers that the closing has queued
  asio::post(m_caller.get_executor(), [self = shared_from_this()] {});
}

}  // namespace jackdawrack
