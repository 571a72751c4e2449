#include "model/endpoint.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <charconv>

namespace jackdawrack {
namespace {

// The address in host byte order, or nothing if `text` is not one.
std::optional<std::uint32_t> ParseAddress(const std::string& text) {
  in_addr address{};
  if (inet_pton(AF_INET, text.c_str(), &address) != 1) {
    return std::nullopt;
  }
  return ntohl(address.s_addr);
}

}  // namespace

std::optional<Endpoint> Endpoint::Parse(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  Endpoint endpoint;
  endpoint.m_address = text.substr(0, colon);
  const char* end = text.data() + text.size();
  const auto parsed =
      std::from_chars(text.data() + colon + 1, end, endpoint.m_port);
  if (parsed.ec != std::errc() || parsed.ptr != end ||
      !ParseAddress(endpoint.m_address)) {
    return std::nullopt;
  }
  return endpoint;
}

bool Endpoint::IsConnectable() const {
  const auto address = ParseAddress(m_address);
  return address && *address != INADDR_ANY && *address != INADDR_BROADCAST &&
         !IN_MULTICAST(*address) && m_port != 0;
}

std::string Endpoint::ToText() const {
  return fmt::format("{}:{}", m_address, m_port);
}

Endpoint ReadEndpoint(IniSectionReader& reader, const char* key) {
  const auto endpoint = Endpoint::Parse(reader.Text(key));
  if (!endpoint) {
    reader.Refuse(key, "accepted is IP:PORT");
    return {};
  }
  return *endpoint;
}

}  // namespace jackdawrack
