#pragma once

#include <cstdint>
#include <string>

namespace jackdawrack {

/// Size and time of change of a file, by which a silent change is noticed.
struct FileMark {
  std::int64_t m_changed_ns = 0;
  std::int64_t m_size = 0;

  /// The mark of a file now; both zero if it cannot be read.
  [[nodiscard]] static FileMark Of(const std::string& path);

  friend bool operator==(const FileMark&, const FileMark&) = default;
};

}  // namespace jackdawrack
