#include "model/request_id.h"

#include <fmt/format.h>

#include <charconv>

namespace jackdawrack {

std::string RequestId::ToText() const {
  return fmt::format("{:016x}-{:x}", m_epoch, m_number);
}

std::optional<RequestId> RequestId::Parse(const std::string& text) {
  RequestId id;
  const char* end = text.data() + text.size();
  const auto epoch = std::from_chars(text.data(), end, id.m_epoch, 16);
  if (epoch.ec != std::errc() || epoch.ptr == end || *epoch.ptr != '-') {
    return std::nullopt;
  }
  const auto number = std::from_chars(epoch.ptr + 1, end, id.m_number, 16);
  if (number.ec != std::errc() || number.ptr != end) {
    return std::nullopt;
  }
  return id;
}

}  // namespace jackdawrack
