#include "proxy_pump.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace jackdawrack {

namespace asio = boost::asio;

ProxyPump::ProxyPump(asio::ip::tcp::socket& from, asio::ip::tcp::socket& to)
    : m_from(from), m_to(to), m_timer(from.get_executor()) {}

void ProxyPump::Start(DrawDelay draw_delay,
                      Transform transform,
                      Handler on_error,
                      Handler on_end) {
  m_draw_delay = std::move(draw_delay);
  m_transform = std::move(transform);
  m_on_error = std::move(on_error);
  m_on_end = std::move(on_end);
  Read();
}

void ProxyPump::Silence() {
  m_is_silent = true;
  m_pieces.clear();
}

void ProxyPump::Stop() {
  m_is_stopped = true;
  m_timer.cancel();
}

void ProxyPump::Read() {
  m_from.async_read_some(
      asio::buffer(m_buffer),
      [self = shared_from_this()](auto error, std::size_t size) {
        self->OnRead(error, size);
      });
}

void ProxyPump::OnRead(const boost::system::error_code& error,
                       std::size_t size) {
  if (m_is_stopped) {
    return;
  }
  if (m_is_silent) {
    // The end of a silent connection does not reach the other side either
    error ? End() : Read();
    return;
  }
  if (error == asio::error::eof) {
    Enqueue({});
    return;
  }
  if (error) {
    Fail();
    return;
  }
  std::string bytes = m_transform(std::string(m_buffer.data(), size));
  if (!bytes.empty()) {
    Enqueue(std::move(bytes));
  }
  Read();
}

void ProxyPump::Enqueue(std::string bytes) {
  TimePoint due = SteadyClock().Now() + m_draw_delay();
  if (!m_pieces.empty()) {
    due = std::max(due, m_pieces.back().m_due);
  }
  m_pieces.push_back(Piece{due, std::move(bytes)});
  if (!m_is_sending) {
    SendWhenDue();
  }
}

void ProxyPump::SendWhenDue() {
  m_is_sending = !m_pieces.empty();
  if (m_pieces.empty()) {
    return;
  }
  m_timer.expires_at(m_pieces.front().m_due);
  m_timer.async_wait([self = shared_from_this()](auto) {
    if (self->m_is_stopped || self->m_pieces.empty()) {
      self->m_is_sending = false;
      return;
    }
    self->SendFront();
  });
}

void ProxyPump::SendFront() {
  auto bytes =
      std::make_shared<std::string>(std::move(m_pieces.front().m_bytes));
  m_pieces.pop_front();
  if (bytes->empty()) {
    boost::system::error_code ignored;
    m_to.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    m_is_sending = false;
    End();
    return;
  }
  asio::async_write(m_to, asio::buffer(*bytes),
                    [self = shared_from_this(), bytes](
                        auto error, std::size_t) { self->OnSent(error); });
}

void ProxyPump::OnSent(const boost::system::error_code& error) {
  if (m_is_stopped) {
    return;
  }
  if (error && !m_is_silent) {
    Fail();
    return;
  }
  SendWhenDue();
}

void ProxyPump::Fail() {
  Post(m_on_error);
}

void ProxyPump::End() {
  m_has_ended = true;
  Post(m_on_end);
}

// Lets the caller return before its connection is closed.
void ProxyPump::Post(const Handler& handler) {
  asio::post(m_timer.get_executor(), [self = shared_from_this(), handler] {
    if (!self->m_is_stopped) {
      handler();
    }
  });
}

}  // namespace jackdawrack
