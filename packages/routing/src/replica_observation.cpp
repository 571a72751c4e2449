#include "routing/replica_observation.h"

#include <cmath>

namespace jackdawrack {
namespace {

using FloatMs = std::chrono::duration<double, std::milli>;

Duration Interpolate(Duration from, Duration to, double weight) {
  const auto step = std::chrono::duration_cast<FloatMs>(to - from) * weight;
  return from + std::chrono::duration_cast<Duration>(step);
}

}  // namespace

double ReplicaObservation::DecayFactor(TimePoint now) const {
  if (now <= m_last_sample) {
    return 1;
  }
  const FloatMs age = now - m_last_sample;
  return std::exp2(-age / FloatMs(kDecayHalfLife));
}

void ReplicaObservation::DecayTo(TimePoint now) {
  m_latency = Latency(now);
  m_failure_share = FailureShare(now);
  m_last_sample = now;
}

void ReplicaObservation::Record(ExchangeOutcome outcome,
                                Duration latency,
                                TimePoint now) {
  DecayTo(now);
  const bool is_failure = outcome != ExchangeOutcome::kSuccess;
  m_failure_share +=
      kFailureWeight * ((is_failure ? 1.0 : 0.0) - m_failure_share);

  // A fast failure says nothing about the latency of answers
  if (!is_failure || latency > m_latency) {
    RecordLatency(latency, now);
  }
}

void ReplicaObservation::RecordLatency(Duration latency, TimePoint now) {
  if (latency <= m_latency) {
    m_latency = Interpolate(m_latency, latency, kFasterWeight);
    return;
  }
  if (now - m_last_slower_sample >= kMinSlowSampleInterval) {
    m_latency = Interpolate(m_latency, latency, kSlowerWeight);
    m_last_slower_sample = now;
  }
}

Duration ReplicaObservation::Latency(TimePoint now) const {
  return Interpolate(m_expected, m_latency, DecayFactor(now));
}

double ReplicaObservation::FailureShare(TimePoint now) const {
  return m_failure_share * DecayFactor(now);
}

}  // namespace jackdawrack
