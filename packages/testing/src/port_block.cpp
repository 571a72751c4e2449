#include "testing/port_block.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

#include "core/check.h"

namespace jackdawrack {
namespace {

/// Below the range from which the kernel takes ports for outgoing connections.
constexpr std::uint16_t kFirstBase = 2000;
constexpr std::uint16_t kLastBase = 19'400;

int TryListen(std::uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  // Connections of an earlier test that linger do not take a port
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(fd, 1) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

// True if no other program listens on any of the block's ports.
bool AreFree(std::uint16_t base) {
  for (std::uint16_t place = 1; place < PortBlock::kSize; ++place) {
    const int fd = TryListen(static_cast<std::uint16_t>(base + place));
    if (fd < 0) {
      return false;
    }
    close(fd);
  }
  return true;
}

}  // namespace

PortBlock::PortBlock() {
  for (m_base = kFirstBase; m_base <= kLastBase; m_base += kSize) {
    m_lock_socket = TryListen(m_base);
    if (m_lock_socket < 0) {
      continue;
    }
    if (AreFree(m_base)) {
      return;
    }
    close(m_lock_socket);
  }
  throw std::runtime_error("no free block of ports");
}

PortBlock::~PortBlock() {
  close(m_lock_socket);
}

std::uint16_t PortBlock::Port(std::uint16_t place) const {
  JR_CHECK(place > 0 && place < kSize);
  return static_cast<std::uint16_t>(m_base + place);
}

}  // namespace jackdawrack
