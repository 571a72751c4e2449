#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <memory>

#include "testing/port_block.h"

namespace jackdawrack {
namespace {

constexpr std::uint16_t kTakenPlace = 24;

int Listen(std::uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  REQUIRE(bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) ==
          0);
  REQUIRE(listen(fd, 1) == 0);
  return fd;
}

TEST_CASE("a block in which another program listens is passed over") {
  auto first = std::make_unique<PortBlock>();
  const std::uint16_t taken = first->Port(kTakenPlace);
  const int listener = Listen(taken);
  first.reset();
  const PortBlock second;
  REQUIRE(second.Port(kTakenPlace) != taken);
  close(listener);
}

}  // namespace
}  // namespace jackdawrack
