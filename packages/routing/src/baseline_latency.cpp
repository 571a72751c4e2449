#include "routing/baseline_latency.h"

#include <algorithm>

namespace jackdawrack {

void BaselineLatency::Record(Duration latency, TimePoint now) {
  const std::int64_t index = now.time_since_epoch() / Duration(kBucketLength);
  Bucket& bucket = m_buckets[static_cast<std::size_t>(index) % kBucketCount];
  if (bucket.m_index != index) {
    bucket = Bucket{index, 0, {}};
  }
  ++bucket.m_answers;
  bucket.m_sum += latency;
  const bool is_first = m_last_index < 0;
  m_last_index = index;
  m_recent_mean =
      is_first
          ? latency
          : m_recent_mean + std::chrono::duration_cast<Duration>(
                                (latency - m_recent_mean) * kRecentMeanWeight);
}

std::optional<Duration> BaselineLatency::Value() const {
  std::optional<Duration> lowest_mean;
  for (const Bucket& bucket : m_buckets) {
    const bool is_recent =
        bucket.m_index >= 0 &&
        m_last_index - bucket.m_index < static_cast<std::int64_t>(kBucketCount);
    if (!is_recent || bucket.m_answers < kMinAnswers) {
      continue;
    }
    const Duration mean = bucket.m_sum / bucket.m_answers;
    lowest_mean = lowest_mean ? std::min(*lowest_mean, mean) : mean;
  }
  return lowest_mean;
}

}  // namespace jackdawrack
