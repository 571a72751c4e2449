#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace jackdawrack {

/// Bytes of one record in a part's body.
inline constexpr std::size_t kRecordBytes = 16;

/// Collects records of parts and yields the greatest of them. Equal records
/// all count; a remainder shorter than a record is none.
class RecordMerge final {
 public:
  /// Adds the records of a part; the bytes have to outlive the merge.
  void Add(std::string_view part);

  /// The greatest `count` records, greatest first, compared byte by byte.
  [[nodiscard]] std::string Greatest(std::size_t count);

 private:
  std::vector<std::string_view> m_records;
};

}  // namespace jackdawrack
