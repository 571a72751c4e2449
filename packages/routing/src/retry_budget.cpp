#include "routing/retry_budget.h"

#include <algorithm>

#include "core/check.h"

namespace jackdawrack {

RetryBudget::Bucket& RetryBudget::AdvanceTo(TimePoint now) {
  const Duration bucket_length = Duration(m_settings.m_window) / kBucketCount;
  m_current_index = std::max<std::int64_t>(
      m_current_index, now.time_since_epoch() / bucket_length);
  Bucket& bucket =
      m_buckets[static_cast<std::size_t>(m_current_index) % m_buckets.size()];
  if (bucket.m_index != m_current_index) {
    bucket = Bucket{m_current_index, 0, 0};
  }
  return bucket;
}

void RetryBudget::SetLimits(double ratio, double slack) {
  m_settings.m_ratio = ratio;
  m_settings.m_slack = slack;
}

void RetryBudget::RecordRequest(TimePoint now) {
  ++AdvanceTo(now).m_requests;
}

RetryBudget::Usage RetryBudget::UsageAt(std::size_t fleet_size, TimePoint now) {
  JR_CHECK(fleet_size >= 1);
  (void)AdvanceTo(now);

  // Sum the window. Repeats include one more bucket than requests, because the
  // start of the sliding window lies within that bucket.
  Usage usage;
  std::uint32_t requests = 0;
  for (const Bucket& bucket : m_buckets) {
    const std::int64_t age = m_current_index - bucket.m_index;
    if (bucket.m_index < 0 || age > static_cast<std::int64_t>(kBucketCount)) {
      continue;
    }
    usage.m_repeats += bucket.m_repeats;
    if (age < static_cast<std::int64_t>(kBucketCount)) {
      requests += bucket.m_requests;
    }
  }
  usage.m_allowance = m_settings.m_ratio * requests;
  if (now >= m_slack_available_at) {
    usage.m_allowance += m_settings.m_slack / static_cast<double>(fleet_size);
  }
  usage.m_allowance *= kUsableFraction;
  return usage;
}

bool RetryBudget::TryTake(RepeatPurpose purpose,
                          std::size_t fleet_size,
                          TimePoint now) {
  const Usage usage = UsageAt(fleet_size, now);
  const double usable_fraction =
      purpose == RepeatPurpose::kHedge ? kHedgeFraction : 1.0;
  if (usage.m_repeats + 1 > usage.m_allowance * usable_fraction) {
    return false;
  }
  ++AdvanceTo(now).m_repeats;
  return true;
}

double RetryBudget::Remaining(std::size_t fleet_size, TimePoint now) {
  const Usage usage = UsageAt(fleet_size, now);
  return std::max(0.0, usage.m_allowance - usage.m_repeats);
}

void RetryBudget::Refund() {
  Bucket& bucket =
      m_buckets[static_cast<std::size_t>(m_current_index) % m_buckets.size()];
  if (bucket.m_repeats > 0) {
    --bucket.m_repeats;
  }
}

}  // namespace jackdawrack
