#include "model/key_range.h"

#include <fmt/format.h>

#include <algorithm>

#include "core/hash.h"

namespace jackdawrack {

std::string KeyRange::ToText() const {
  return fmt::format("{}-{}", m_begin, m_end);
}

std::uint64_t KeyOf(const std::string& key_text) {
  return Hash64(key_text) >> 32;
}

KeyRange Intersect(const KeyRange& a, const KeyRange& b) {
  return KeyRange{std::max(a.m_begin, b.m_begin), std::min(a.m_end, b.m_end)};
}

}  // namespace jackdawrack
