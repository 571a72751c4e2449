#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <memory>

#include "peer/frame_codec.h"
#include "peer/peer_traffic.h"

namespace jackdawrack {

/// Open connection between two instances. Each frame is preceded by its length
/// in bytes as a 32-bit big-endian integer.
///
/// All methods must be called on the socket's executor, which is a strand.
class PeerConnection final
    : public std::enable_shared_from_this<PeerConnection> {
 public:
  using FrameHandler = std::function<void(PeerFrame)>;
  using ClosedHandler = std::function<void()>;

  PeerConnection(boost::asio::ip::tcp::socket socket,
                 const PeerTraffic& traffic);

  /// Starts reading. `on_closed` is called once, after the last call of
  /// `on_frame`.
  void Start(FrameHandler on_frame, ClosedHandler on_closed);

  /// Queues a frame for sending. Returns false if the queue is full or the
  /// connection is closed.
  bool Send(const PeerFrame& frame);

  /// Closes the socket. `on_closed` is called asynchronously.
  void Close();

  /// True until the connection is closed by either side.
  [[nodiscard]] bool IsOpen() const { return m_is_open; }

 private:
  void ReadHeader();
  void ReadBody(std::uint32_t size);
  void OnBody(std::size_t size);
  void WriteNext();
  void CloseSocket();

  boost::asio::ip::tcp::socket m_socket;
  const PeerTraffic m_traffic;
  FrameHandler m_on_frame;
  ClosedHandler m_on_closed;
  bool m_is_open = true;

  // Receive state
  std::array<char, 4> m_header{};
  std::string m_body;

  // Send state
  std::deque<std::string> m_send_queue;
  std::string m_send_buffer;
  std::size_t m_queued_bytes = 0;
};

}  // namespace jackdawrack
