#pragma once

#include <array>
#include <cstdint>

#include "core/clock.h"

namespace jackdawrack {

/// Bound on the repeats sent to a service. A repeat is any attempt of a request
/// beyond the first: a retry or a hedge.
struct RetryBudgetSettings {
  /// Number of repeats allowed per request.
  double m_ratio = 0.2;
  /// Number of additional repeats allowed per window for all instances
  /// together.
  double m_slack = 0;
  /// Length of the sliding window.
  Milliseconds m_window{10'000};

  friend bool operator==(const RetryBudgetSettings&,
                         const RetryBudgetSettings&) = default;
};

/// Purpose of a repeat. Hedges may use only a part of the budget.
enum class RepeatPurpose : std::uint8_t { kHedge, kRetry };

/// This instance's share of the fleet-wide budget of repeats to one service.
///
/// Each instance limits its repeats to the ratio of its own requests plus its
/// share of the slack, so that the fleet stays within the bound without
/// coordination.
class RetryBudget final {
 public:
  /// Fraction of the bound that is used. The rest covers repeats that reach the
  /// service in a different window than their requests were counted in.
  static constexpr double kUsableFraction = 0.85;
  /// Fraction of the allowance that hedges may use.
  static constexpr double kHedgeFraction = 0.7;

  /// The slack is unavailable before `slack_available_at`, one window after the
  /// start of the process, because the previous process may have used its share
  /// just before it ended.
  RetryBudget(const RetryBudgetSettings& settings, TimePoint slack_available_at)
      : m_settings(settings), m_slack_available_at(slack_available_at) {}

  /// Changes the ratio and the slack; the window is unchanged.
  void SetLimits(double ratio, double slack);

  /// Counts a request to the service. Time points passed to this object must
  /// not decrease.
  void RecordRequest(TimePoint now);

  /// Takes one repeat from the budget and returns true if the budget allows it.
  /// `fleet_size` is the number of instances that share the slack; at least 1.
  [[nodiscard]] bool TryTake(RepeatPurpose purpose,
                             std::size_t fleet_size,
                             TimePoint now);

  /// Returns the number of repeats that are still available to retries.
  [[nodiscard]] double Remaining(std::size_t fleet_size, TimePoint now);

  /// Returns to the budget a repeat that was taken but not sent.
  void Refund();

 private:
  static constexpr std::size_t kBucketCount = 20;

  struct Bucket {
    std::int64_t m_index = -1;
    std::uint32_t m_requests = 0;
    std::uint32_t m_repeats = 0;
  };

  /// Number of repeats allowed and taken in the current window.
  struct Usage {
    double m_allowance = 0;
    std::uint32_t m_repeats = 0;
  };

  Bucket& AdvanceTo(TimePoint now);
  [[nodiscard]] Usage UsageAt(std::size_t fleet_size, TimePoint now);

  RetryBudgetSettings m_settings;
  TimePoint m_slack_available_at;
  std::array<Bucket, kBucketCount + 1> m_buckets{};
  std::int64_t m_current_index = 0;
};

}  // namespace jackdawrack
