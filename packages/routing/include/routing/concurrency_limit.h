#pragma once

#include <cstddef>

#include "core/clock.h"
#include "routing/baseline_latency.h"

namespace jackdawrack {

/// Adaptive limit on the requests that this instance has in flight at one
/// replica (additive increase, multiplicative decrease).
///
/// Refusals and latencies far above the baseline lower the limit; other answers
/// raise it. The limits of all instances together converge near the number of
/// requests that the replica runs concurrently, without any coordination;
/// requests beyond that would only queue at the replica.
class ConcurrencyLimit final {
 public:
  /// Factor applied to the limit on a refusal or a slow answer.
  static constexpr double kDecreaseFactor = 0.6;
  /// Amount added to the limit by each answer. Several answers are needed to
  /// allow one more concurrent request.
  static constexpr double kIncreasePerAnswer = 0.15;
  /// Requests are considered queued at the replica if the recent mean latency
  /// exceeds the baseline times this factor plus this margin.
  static constexpr double kQueuedFactor = 2.0;
  static constexpr Milliseconds kQueuedMargin{10};
  /// Minimum time between two decreases. Refusals that arrive sooner belong to
  /// requests sent before the first refusal was received.
  static constexpr Milliseconds kMinDecreaseInterval{40};

  /// Sets the maximum of the limit; at least 1. A limit that is at its maximum
  /// follows the new one.
  void SetMaximum(std::size_t maximum);

  /// Raises the limit, or lowers it if recent latencies indicate queueing.
  void RecordAnswer(Duration latency, TimePoint now);

  /// Lowers the limit.
  void RecordRefusal(TimePoint now);

  /// Lowers the limit to its minimum.
  void Restart() { m_limit = 1; }

  /// Returns the number of requests that may be in flight; at least 1.
  [[nodiscard]] std::size_t Value() const;

 private:
  void Decrease(TimePoint now);

  std::size_t m_maximum = 1;
  double m_limit = 1;
  TimePoint m_last_decrease{};
  BaselineLatency m_baseline;
};

}  // namespace jackdawrack
