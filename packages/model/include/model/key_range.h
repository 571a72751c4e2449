#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace jackdawrack {

/// One past the greatest key; keys are 32-bit hashes of the callers' keys.
inline constexpr std::uint64_t kKeySpaceEnd = 1ULL << 32;

/// A half-open range of keys: begin included, end excluded.
struct KeyRange {
  std::uint64_t m_begin = 0;
  std::uint64_t m_end = 0;

  [[nodiscard]] bool IsValid() const {
    return m_begin < m_end && m_end <= kKeySpaceEnd;
  }
  [[nodiscard]] std::uint64_t Size() const { return m_end - m_begin; }
  [[nodiscard]] bool Contains(std::uint64_t key) const {
    return key >= m_begin && key < m_end;
  }

  /// "begin-end".
  [[nodiscard]] std::string ToText() const;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_begin, m_end);
  }

  friend auto operator<=>(const KeyRange&, const KeyRange&) = default;
  friend bool operator==(const KeyRange&, const KeyRange&) = default;
};

/// The whole key space.
inline constexpr KeyRange kWholeKeySpace{0, kKeySpaceEnd};

/// The key under which a caller's key text is stored.
[[nodiscard]] std::uint64_t KeyOf(const std::string& key_text);

/// The common part of two ranges; empty (begin >= end) if there is none.
[[nodiscard]] KeyRange Intersect(const KeyRange& a, const KeyRange& b);

}  // namespace jackdawrack
