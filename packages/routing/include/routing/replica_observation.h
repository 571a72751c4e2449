#pragma once

#include "core/clock.h"

namespace jackdawrack {

/// Outcome of an exchange with a replica.
enum class ExchangeOutcome : std::uint8_t {
  /// The replica answered.
  kSuccess,
  /// The replica reported that it did not run the request.
  kRefused,
  /// The exchange failed, was interrupted or returned a server error.
  kFailed,
};

/// Latency and failure rate of one replica as observed by this instance. Both
/// decay towards the values assumed for an unknown replica. Health endpoints
/// are not queried, since a query occupies a slot and its result may be wrong.
class ReplicaObservation final {
 public:
  /// Weight of a sample in the moving average of latency, for samples that are
  /// slower and faster than the average. Faster samples weigh more, so that a
  /// recovered replica is used again soon.
  static constexpr double kSlowerWeight = 0.15;
  static constexpr double kFasterWeight = 0.4;
  /// Weight of a sample in the moving average of failures.
  static constexpr double kFailureWeight = 0.2;
  /// Minimum time between two slower samples that are counted. After a stall,
  /// all pending requests are answered at the same time and count as one
  /// sample.
  static constexpr Milliseconds kMinSlowSampleInterval{60};
  /// Half-life of the observations without new samples. The decay makes an
  /// avoided replica eligible again.
  static constexpr Milliseconds kDecayHalfLife{800};

  /// `expected_latency` is assumed before the first answer and is the value
  /// that the latency decays towards.
  explicit ReplicaObservation(Duration expected_latency)
      : m_expected(expected_latency), m_latency(expected_latency) {}

  /// Records the outcome of an exchange that took `latency`.
  void Record(ExchangeOutcome outcome, Duration latency, TimePoint now);

  /// Returns the expected latency without queueing.
  [[nodiscard]] Duration Latency(TimePoint now) const;

  /// Returns the expected fraction of requests that fail or are refused, 0
  /// to 1.
  [[nodiscard]] double FailureShare(TimePoint now) const;

 private:
  [[nodiscard]] double DecayFactor(TimePoint now) const;
  void RecordLatency(Duration latency, TimePoint now);
  void DecayTo(TimePoint now);

  Duration m_expected;
  Duration m_latency;
  double m_failure_share = 0;
  TimePoint m_last_sample{};
  TimePoint m_last_slower_sample{};
};

}  // namespace jackdawrack
