#pragma once

#include "core/clock.h"

namespace jackdawrack {

/// How an exchange with a replica ended.
enum class ExchangeVerdict : std::uint8_t {
  kSuccess,
  /// It said that the request did not run.
  kRefused,
  /// It failed, broke off or sent what is no answer.
  kFailed,
};

/// What this instance has seen of one replica: latency and failures, each
/// fading towards the expectation for an unknown one. Health endpoints are not
/// asked; they cost a slot and may be wrong.
class ReplicaObservation final {
 public:
  /// Share of a sample in the running mean of latency where it is slower, and
  /// where it is faster: a replica that has recovered is used again soon.
  static constexpr double kSlowerWeight = 0.15;
  static constexpr double kFasterWeight = 0.4;
  /// Share of a sample in the running share of failures.
  static constexpr double kFailureWeight = 0.2;
  /// Slower samples within this time of one another count once: after a stall
  /// all that waited is answered at the same moment.
  static constexpr Milliseconds kBurstTime{60};
  /// Time in which an observation loses half of its weight without samples, so
  /// that a replica that was avoided is tried again.
  static constexpr Milliseconds kForgetHalfLife{800};

  /// `expected_latency` is assumed until the first answer.
  explicit ReplicaObservation(Duration expected_latency)
      : m_expected(expected_latency), m_latency(expected_latency) {}

  /// Notes the end of an exchange that took `latency`.
  void Record(ExchangeVerdict verdict, Duration latency, TimePoint now);

  /// Expected time to an answer without a queue.
  [[nodiscard]] Duration Latency(TimePoint now) const;

  /// Expected share of requests that fail or are refused, 0 to 1.
  [[nodiscard]] double FailureShare(TimePoint now) const;

 private:
  [[nodiscard]] double Weight(TimePoint now) const;
  void RecordLatency(Duration latency, TimePoint now);
  void Fade(TimePoint now);

  Duration m_expected;
  Duration m_latency;
  double m_failure_share = 0;
  TimePoint m_last_sample{};
  TimePoint m_last_slower_sample{};
};

}  // namespace jackdawrack
