#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include "core/ini.h"

namespace jackdawrack {

/// An IPv4 address and a port.
struct Endpoint {
  std::string m_address;
  std::uint16_t m_port = 0;

  /// Parses "127.0.0.1:7000"; names are not looked up.
  static std::optional<Endpoint> Parse(const std::string& text);

  /// True if it names one host and a port to connect to; false for a wildcard,
  /// multicast or broadcast address and for an address that is not IPv4.
  [[nodiscard]] bool IsConnectable() const;

  [[nodiscard]] std::string ToText() const;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_address, m_port);
  }

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
  friend bool operator==(const Endpoint&, const Endpoint&) = default;
};

/// The address under `key`; a problem if it is missing or no IP:PORT.
[[nodiscard]] Endpoint ReadEndpoint(IniSectionReader& reader, const char* key);

}  // namespace jackdawrack
