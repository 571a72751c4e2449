#include "routing/baseline_latency.h"

#include <algorithm>

namespace jackdawrack {

void BaselineLatency::Record(Duration latency, TimePoint now) {
  const std::int64_t number = now.time_since_epoch() / Duration(kBucketLength);
  Bucket& slice = m_buckets[static_cast<std::size_t>(number) % kBucketCount];
  if (slice.m_index != number) {
    slice = Bucket{number, 0, {}};
  }
  ++slice.m_answers;
  slice.m_sum += latency;
  const bool is_first = m_last_index < 0;
  m_last_index = number;
  m_recent_mean =
      is_first
          ? latency
          : m_recent_mean + std::chrono::duration_cast<Duration>(
                                (latency - m_recent_mean) * kRecentMeanWeight);
}

std::optional<Duration> BaselineLatency::Value() const {
  std::optional<Duration> calmest;
  for (const Bucket& slice : m_buckets) {
    const bool is_recent =
        slice.m_index >= 0 &&
        m_last_index - slice.m_index < static_cast<std::int64_t>(kBucketCount);
    if (!is_recent || slice.m_answers < kMinAnswers) {
      continue;
    }
    const Duration mean = slice.m_sum / slice.m_answers;
    calmest = calmest ? std::min(*calmest, mean) : mean;
  }
  return calmest;
}

}  // namespace jackdawrack
