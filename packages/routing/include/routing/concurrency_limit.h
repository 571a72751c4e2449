#pragma once

#include <cstddef>

#include "core/clock.h"
#include "routing/calm_latency.h"

namespace jackdawrack {

/// How many requests this instance may have under way at one replica: fewer
/// after refusals and while answers take far longer than in calm times, more
/// again with each answer. It keeps all instances together near what the
/// replica runs at once, without an exchange; more would only wait there.
class ConcurrencyLimit final {
 public:
  /// The limit is multiplied by this on a refusal.
  static constexpr double kDecrease = 0.6;
  /// An answer adds this part of a request; some answers later the replica is
  /// tried with one more.
  static constexpr double kIncrease = 0.15;
  /// Answers that take longer than the calm latency by this factor and margin
  /// have waited at the replica.
  static constexpr double kQueuedFactor = 2.0;
  static constexpr Milliseconds kQueuedMargin{10};
  /// Refusals within this time of one another count once: they answer requests
  /// that were sent before the first was known.
  static constexpr Milliseconds kBurstTime{40};

  /// Takes the greatest limit, 1 at least.
  void SetMost(std::size_t most);

  void RecordAnswer(Duration latency, TimePoint now);
  void RecordRefusal(TimePoint now);

  /// Requests that may be under way, 1 at least.
  [[nodiscard]] std::size_t Value() const;

 private:
  void Decrease(TimePoint now);

  std::size_t m_most = 1;
  double m_limit = 1;
  TimePoint m_last_decrease{};
  CalmLatency m_calm;
};

}  // namespace jackdawrack
