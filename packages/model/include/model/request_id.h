#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace jackdawrack {

/// Names one request over the whole fleet and for good: the random epoch of
/// the process that took it and a number counted up in that process.
struct RequestId {
  std::uint64_t m_epoch = 0;
  std::uint64_t m_number = 0;

  /// "epoch-number", in hexadecimal.
  [[nodiscard]] std::string ToText() const;

  /// Reads what `ToText` wrote.
  static std::optional<RequestId> Parse(const std::string& text);

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_epoch, m_number);
  }

  friend auto operator<=>(const RequestId&, const RequestId&) = default;
  friend bool operator==(const RequestId&, const RequestId&) = default;
};

}  // namespace jackdawrack

template <>
struct std::hash<jackdawrack::RequestId> {
  std::size_t operator()(const jackdawrack::RequestId& id) const {
    return id.m_epoch ^ (id.m_number * 0x9e3779b97f4a7c15ULL);
  }
};
