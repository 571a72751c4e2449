#include "routing/retry_budget.h"

#include <algorithm>

#include "core/check.h"

namespace jackdawrack {

RetryBudget::Slice& RetryBudget::SliceAt(TimePoint now) {
  const auto length = m_settings.m_window / kSlices;
  m_last_number = std::max<std::int64_t>(
      m_last_number, now.time_since_epoch() / Duration(length));
  Slice& slice =
      m_slices[static_cast<std::size_t>(m_last_number) % m_slices.size()];
  if (slice.m_number != m_last_number) {
    slice = Slice{m_last_number, 0, 0};
  }
  return slice;
}

void RetryBudget::SetBound(double ratio, double slack) {
  m_settings.m_ratio = ratio;
  m_settings.m_slack = slack;
}

void RetryBudget::RecordRequest(TimePoint now) {
  ++SliceAt(now).m_requests;
}

RetryBudget::Usage RetryBudget::UsageAt(std::size_t fleet_size, TimePoint now) {
  JR_CHECK(fleet_size >= 1);
  (void)SliceAt(now);

  // Sum the window. Repeats include one more bucket than requests, because the
  // start of the sliding window lies within that bucket.
  Usage usage;
  std::uint32_t requests = 0;
  for (const Slice& slice : m_slices) {
    const std::int64_t age = m_last_number - slice.m_number;
    if (slice.m_number < 0 || age > static_cast<std::int64_t>(kSlices)) {
      continue;
    }
    usage.m_repeats += slice.m_repeats;
    if (age < static_cast<std::int64_t>(kSlices)) {
      requests += slice.m_requests;
    }
  }
  usage.m_allowance = m_settings.m_ratio * requests;
  if (now >= m_slack_from) {
    usage.m_allowance += m_settings.m_slack / static_cast<double>(fleet_size);
  }
  usage.m_allowance *= kUsablePart;
  return usage;
}

bool RetryBudget::TryTake(RepeatPurpose purpose,
                          std::size_t fleet_size,
                          TimePoint now) {
  const Usage usage = UsageAt(fleet_size, now);
  const double part = purpose == RepeatPurpose::kHedge ? kHedgePart : 1.0;
  if (usage.m_repeats + 1 > usage.m_allowance * part) {
    return false;
  }
  ++SliceAt(now).m_repeats;
  return true;
}

double RetryBudget::Left(std::size_t fleet_size, TimePoint now) {
  const Usage usage = UsageAt(fleet_size, now);
  return std::max(0.0, usage.m_allowance - usage.m_repeats);
}

void RetryBudget::GiveBack() {
  Slice& slice =
      m_slices[static_cast<std::size_t>(m_last_number) % m_slices.size()];
  if (slice.m_repeats > 0) {
    --slice.m_repeats;
  }
}

}  // namespace jackdawrack
