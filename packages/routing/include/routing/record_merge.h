#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace jackdawrack {

/// Size of one record in the body of a part, in bytes.
inline constexpr std::size_t kRecordBytes = 16;

/// Merges the records of several parts and returns the greatest ones. Duplicate
/// records are kept; a trailing incomplete record is ignored.
class RecordMerge final {
 public:
  /// Adds the records of a part. The bytes are not copied and must outlive this
  /// object.
  void Add(std::string_view part);

  /// Returns the `count` greatest records, or all if there are fewer, in
  /// descending bytewise order.
  [[nodiscard]] std::string Greatest(std::size_t count);

 private:
  std::vector<std::string_view> m_records;
};

}  // namespace jackdawrack
