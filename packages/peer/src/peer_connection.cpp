#include "peer/peer_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

#include "core/check.h"
#include "core/event.h"
#include "core/exception_log.h"
#include "net/socket_options.h"

namespace jackdawrack {
namespace {

namespace asio = boost::asio;

constexpr std::size_t kMaxQueuedBytes = 64 << 20;
constexpr Milliseconds kTcpUserTimeout{3000};

}  // namespace

PeerConnection::PeerConnection(asio::ip::tcp::socket socket,
                               const PeerTraffic& traffic)
    : m_socket(std::move(socket)), m_traffic(traffic) {
  ApplySocketOptions(m_socket, kTcpUserTimeout);
}

void PeerConnection::Start(FrameHandler on_frame, ClosedHandler on_closed) {
  JR_CHECK(m_on_frame == nullptr);
  m_on_frame = std::move(on_frame);
  m_on_closed = std::move(on_closed);
  ReadHeader();
}

bool PeerConnection::Send(const PeerFrame& frame) {
  if (!m_is_open || m_queued_bytes > kMaxQueuedBytes) {
    return false;
  }
  const std::string body = BinaryCodec::Encode(frame);
  std::string bytes(sizeof(std::uint32_t), '\0');
  boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(bytes.data()),
                               static_cast<std::uint32_t>(body.size()));
  bytes += body;
  m_queued_bytes += bytes.size();
  m_send_queue.push_back(std::move(bytes));
  if (m_send_buffer.empty()) {
    WriteNext();
  }
  return true;
}

void PeerConnection::Close() {
  CloseSocket();
}

void PeerConnection::ReadHeader() {
  asio::async_read(
      m_socket, asio::buffer(m_header),
      [self = shared_from_this()](auto error, std::size_t) {
        if (error) {
          self->CloseSocket();
          return;
        }
        self->ReadBody(boost::endian::load_big_u32(
            reinterpret_cast<unsigned char*>(self->m_header.data())));
      });
}

void PeerConnection::ReadBody(std::uint32_t size) {
  if (size > kMaxFrameBytes) {
    LogEvent(EventId::kFrameRefused, "bytes={} limit={}", size, kMaxFrameBytes);
    CloseSocket();
    return;
  }
  m_body.resize(size);
  asio::async_read(m_socket, asio::buffer(m_body),
                   [self = shared_from_this()](auto error, std::size_t read) {
                     if (error) {
                       self->CloseSocket();
                       return;
                     }
                     self->OnBody(read);
                   });
}

void PeerConnection::OnBody(std::size_t size) {
  m_traffic.m_bytes_received.Add(size + m_header.size());
  std::optional<PeerFrame> frame = BinaryCodec::Decode(m_body);
  if (!frame) {
    LogEvent(EventId::kFrameRefused, "bytes={} undecodable", size);
    CloseSocket();
    return;
  }
  try {
    m_on_frame(std::move(*frame));
  } catch (...) {
    LogException("peer frame", std::current_exception());
    CloseSocket();
  }
  if (m_is_open) {
    ReadHeader();
  }
}

void PeerConnection::WriteNext() {
  // Send all queued frames in a single write
  for (const std::string& bytes : m_send_queue) {
    m_send_buffer += bytes;
  }
  m_send_queue.clear();
  asio::async_write(m_socket, asio::buffer(m_send_buffer),
                    [self = shared_from_this()](auto error, std::size_t sent) {
                      self->m_traffic.m_bytes_sent.Add(sent);
                      self->m_queued_bytes -= self->m_send_buffer.size();
                      self->m_send_buffer.clear();
                      if (error) {
                        self->CloseSocket();
                        return;
                      }
                      if (!self->m_send_queue.empty()) {
                        self->WriteNext();
                      }
                    });
}

void PeerConnection::CloseSocket() {
  if (!m_is_open) {
    return;
  }
  m_is_open = false;
  boost::system::error_code ignored;
  m_socket.close(ignored);
  if (m_on_closed) {
    // Post the callback so that it does not run within the current call
    asio::post(m_socket.get_executor(),
               [self = shared_from_this()] { self->m_on_closed(); });
  }
}

}  // namespace jackdawrack
