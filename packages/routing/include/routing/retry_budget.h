#pragma once

#include <array>
#include <cstdint>

#include "core/clock.h"

namespace jackdawrack {

/// The published bound on requests sent more than once to a service.
struct RetryBudgetSettings {
  /// Repeats allowed for each request.
  double m_ratio = 0.2;
  /// Repeats allowed in a window besides, by all instances together.
  double m_slack = 0;
  /// Length of the sliding window.
  Milliseconds m_window{10'000};

  friend bool operator==(const RetryBudgetSettings&,
                         const RetryBudgetSettings&) = default;
};

/// What a repeat is for; hedges leave a part of the budget to retries.
enum class RepeatPurpose : std::uint8_t { kHedge, kRetry };

/// This instance's part of the fleet's budget of repeats to one service.
///
/// Each instance keeps to the ratio of its own requests and to its part of the
/// slack, so that the sum over the fleet stays within the bound without any
/// exchange.
class RetryBudget final {
 public:
  /// Part of the bound that is used; the rest covers requests whose repeats
  /// reach the service in another window than they were counted in.
  static constexpr double kUsablePart = 0.85;
  /// Part of the allowance that hedges may use.
  static constexpr double kHedgePart = 0.7;

  /// Nothing is drawn from the slack before `slack_from`: a window after the
  /// start of the process, whose predecessor may just have used its part.
  RetryBudget(const RetryBudgetSettings& settings, TimePoint slack_from)
      : m_settings(settings), m_slack_from(slack_from) {}

  /// Takes another ratio and slack; the window stays.
  void SetBound(double ratio, double slack);

  /// Counts a request for the service; `TimePoint`s never go back.
  void RecordRequest(TimePoint now);

  /// Takes one repeat if the budget allows it. `fleet_size` is the number of
  /// instances that share the slack, 1 at least.
  [[nodiscard]] bool TryTake(RepeatPurpose purpose,
                             std::size_t fleet_size,
                             TimePoint now);

  /// Repeats that retries may still take now.
  [[nodiscard]] double Left(std::size_t fleet_size, TimePoint now);

  /// Returns a repeat that was not sent after all.
  void GiveBack();

 private:
  static constexpr std::size_t kSlices = 20;

  struct Slice {
    std::int64_t m_number = -1;
    std::uint32_t m_requests = 0;
    std::uint32_t m_repeats = 0;
  };

  /// What the window allows, and what was sent in it.
  struct Usage {
    double m_allowance = 0;
    std::uint32_t m_repeats = 0;
  };

  Slice& SliceAt(TimePoint now);
  [[nodiscard]] Usage UsageAt(std::size_t fleet_size, TimePoint now);

  RetryBudgetSettings m_settings;
  TimePoint m_slack_from;
  std::array<Slice, kSlices + 1> m_slices{};
  std::int64_t m_last_number = 0;
};

}  // namespace jackdawrack
