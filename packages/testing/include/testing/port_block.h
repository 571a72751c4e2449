#pragma once

#include <cstdint>

namespace jackdawrack {

/// A block of loopback ports that no other test on this host uses at the same
/// time; held by a listening socket on its first port.
class PortBlock final {
 public:
  PortBlock();
  ~PortBlock();

  PortBlock(const PortBlock&) = delete;
  PortBlock& operator=(const PortBlock&) = delete;

  /// Number of ports in a block.
  static constexpr std::uint16_t kSize = 600;

  /// The port at this place of the block; places begin at 1.
  [[nodiscard]] std::uint16_t Port(std::uint16_t place) const;

 private:
  int m_lock_socket = -1;
  std::uint16_t m_base = 0;
};

}  // namespace jackdawrack
