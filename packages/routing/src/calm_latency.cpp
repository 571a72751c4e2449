#include "routing/calm_latency.h"

#include <algorithm>

namespace jackdawrack {

void CalmLatency::Record(Duration latency, TimePoint now) {
  const std::int64_t number = now.time_since_epoch() / Duration(kSlice);
  Slice& slice = m_slices[static_cast<std::size_t>(number) % kSlices];
  if (slice.m_number != number) {
    slice = Slice{number, 0, {}};
  }
  ++slice.m_answers;
  slice.m_sum += latency;
  const bool is_first = m_last_number < 0;
  m_last_number = number;
  m_recent = is_first ? latency
                      : m_recent + std::chrono::duration_cast<Duration>(
                                       (latency - m_recent) * kRecentWeight);
}

std::optional<Duration> CalmLatency::Value() const {
  std::optional<Duration> calmest;
  for (const Slice& slice : m_slices) {
    const bool is_recent =
        slice.m_number >= 0 &&
        m_last_number - slice.m_number < static_cast<std::int64_t>(kSlices);
    if (!is_recent || slice.m_answers < kLeastAnswers) {
      continue;
    }
    const Duration mean = slice.m_sum / slice.m_answers;
    calmest = calmest ? std::min(*calmest, mean) : mean;
  }
  return calmest;
}

}  // namespace jackdawrack
