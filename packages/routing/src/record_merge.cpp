#include "routing/record_merge.h"

#include <algorithm>
#include <functional>

namespace jackdawrack {

void RecordMerge::Add(std::string_view part) {
  while (part.size() >= kRecordBytes) {
    m_records.push_back(part.substr(0, kRecordBytes));
    part.remove_prefix(kRecordBytes);
  }
}

std::string RecordMerge::Greatest(std::size_t count) {
  const std::size_t taken = std::min(count, m_records.size());
  const auto middle = m_records.begin() + static_cast<std::ptrdiff_t>(taken);
  std::partial_sort(m_records.begin(), middle, m_records.end(),
                    std::greater<>());

  std::string merged;
  merged.reserve(taken * kRecordBytes);
  for (auto record = m_records.begin(); record != middle; ++record) {
    merged.append(*record);
  }
  return merged;
}

}  // namespace jackdawrack
