#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "core/clock.h"

namespace jackdawrack {

/// Carries the bytes of one direction of a proxied connection.
class ProxyPump final : public std::enable_shared_from_this<ProxyPump> {
 public:
  /// Changes a piece of bytes before it is sent on.
  using Transform = std::function<std::string(const std::string& bytes)>;
  using DrawDelay = std::function<Milliseconds()>;
  using Handler = std::function<void()>;

  ProxyPump(boost::asio::ip::tcp::socket& from,
            boost::asio::ip::tcp::socket& to);

  /// `on_error` is called once when either end broke, `on_end` once after the
  /// end of input was passed on or swallowed.
  void Start(DrawDelay draw_delay,
             Transform transform,
             Handler on_error,
             Handler on_end);

  /// Swallows every further byte and the end of input too.
  void Silence();

  /// Stops; no handler is called any more.
  void Stop();

  [[nodiscard]] bool HasEnded() const { return m_has_ended; }

 private:
  struct Piece {
    TimePoint m_due;
    /// Empty stands for the end of input.
    std::string m_bytes;
  };

  void Read();
  void OnRead(const boost::system::error_code& error, std::size_t size);
  void Enqueue(std::string bytes);
  void SendWhenDue();
  void SendFront();
  void OnSent(const boost::system::error_code& error);
  void Fail();
  void End();
  void Post(const Handler& handler);

  boost::asio::ip::tcp::socket& m_from;
  boost::asio::ip::tcp::socket& m_to;
  boost::asio::steady_timer m_timer;
  DrawDelay m_draw_delay;
  Transform m_transform;
  Handler m_on_error;
  Handler m_on_end;

  // Bytes on their way
  std::array<char, 16384> m_buffer{};
  std::deque<Piece> m_pieces;
  bool m_is_sending = false;
  bool m_is_silent = false;
  bool m_is_stopped = false;
  bool m_has_ended = false;
};

}  // namespace jackdawrack
