#include "model/endpoint.h"

#include <fmt/format.h>

#include <charconv>

namespace jackdawrack {
namespace {

bool IsDottedAddress(const std::string& text) {
  return !text.empty() &&
         text.find_first_not_of("0123456789.:abcdefABCDEF[]") ==
             std::string::npos;
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
      !IsDottedAddress(endpoint.m_address)) {
    return std::nullopt;
  }
  return endpoint;
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
