#include "policy/slow_replicas.h"

#include <algorithm>
#include <vector>

namespace jackdawrack {
namespace {

/// The expected latency moves by one part in this many towards a faster
/// response.
constexpr int kLatencyDecayDivisor = 4;

/// Replicas of a domain that a meaningful median needs.
constexpr std::size_t kMinReplicasForMedian = 3;

Duration MedianOf(std::vector<Duration> values) {
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

void SlowReplicas::Record(const ReplicaKey& replica, Duration latency) {
  Observation& observation = m_observations[replica];
  const bool is_slower =
      observation.m_samples == 0 || latency >= observation.m_expected_latency;
  observation.m_expected_latency =
      is_slower ? latency
                : observation.m_expected_latency +
                      (latency - observation.m_expected_latency) /
                          kLatencyDecayDivisor;
  ++observation.m_samples;
}

std::uint32_t SlowReplicas::Evaluate(TimePoint now) {
  std::map<FailureDomain, DomainSummary> domains = SummarizeDomains();
  std::uint32_t newly_ejected = 0;
  m_not_live_count = 0;
  for (auto& [replica, observation] : m_observations) {
    newly_ejected +=
        UpdateState(observation, domains[replica.m_domain], now) ? 1 : 0;
    m_not_live_count += observation.m_state == State::kLive ? 0 : 1;
  }
  return newly_ejected;
}

ReplicaSet SlowReplicas::ReplicasToAvoid() {
  ReplicaSet avoid;
  if (m_not_live_count == 0) {
    return avoid;
  }
  const bool is_trial = ++m_query_count % kRequestsPerTrial == 0;
  for (const auto& [replica, observation] : m_observations) {
    if (observation.m_state == State::kEjected ||
        (observation.m_state == State::kOnTrial && !is_trial)) {
      avoid.insert(replica);
    }
  }
  return avoid;
}

ReplicaSet SlowReplicas::ReplicasOnTrial() const {
  ReplicaSet on_trial;
  if (m_not_live_count == 0) {
    return on_trial;
  }
  for (const auto& [replica, observation] : m_observations) {
    if (observation.m_state == State::kOnTrial) {
      on_trial.insert(replica);
    }
  }
  return on_trial;
}

std::map<FailureDomain, SlowReplicas::DomainSummary>
SlowReplicas::SummarizeDomains() const {
  std::map<FailureDomain, std::vector<Duration>> latencies;
  std::map<FailureDomain, DomainSummary> domains;
  for (const auto& [replica, observation] : m_observations) {
    if (observation.m_samples >= kMinSamples) {
      latencies[replica.m_domain].push_back(observation.m_expected_latency);
    }
    DomainSummary& domain = domains[replica.m_domain];
    ++domain.m_count;
    domain.m_ejected += observation.m_state == State::kLive ? 0 : 1;
  }
  for (auto& [domain, values] : latencies) {
    if (values.size() >= kMinReplicasForMedian) {
      domains[domain].m_median = MedianOf(std::move(values));
    }
  }
  return domains;
}

bool SlowReplicas::UpdateState(Observation& observation,
                               DomainSummary& domain,
                               TimePoint now) const {
  // Start the trial once the ejection time has passed
  if (observation.m_state == State::kEjected) {
    if (now >= observation.m_ejected_until) {
      observation.m_state = State::kOnTrial;
      observation.m_samples = 0;
    }
    return false;
  }
  if (observation.m_samples < kMinSamples ||
      domain.m_median == Duration::zero()) {
    return false;
  }

  // End the trial of a replica that is no longer slow
  const bool is_slow =
      observation.m_expected_latency > domain.m_median * kSlowLatencyFactor &&
      observation.m_expected_latency > domain.m_median + kSlowLatencyMargin;
  if (!is_slow) {
    if (observation.m_state == State::kOnTrial) {
      observation.m_state = State::kLive;
      observation.m_next_ejection_time = kInitialEjectionTime;
      --domain.m_ejected;
    }
    return false;
  }

  // Eject the replica unless too many are ejected; one on trial is counted
  // already
  const auto allowed = std::max<std::size_t>(
      1, static_cast<std::size_t>(kMaxEjectedFraction *
                                  static_cast<double>(domain.m_count)));
  if (observation.m_state == State::kLive && domain.m_ejected >= allowed) {
    return false;
  }
  domain.m_ejected += observation.m_state == State::kLive ? 1 : 0;
  observation.m_state = State::kEjected;
  observation.m_ejected_until = now + observation.m_next_ejection_time;
  observation.m_next_ejection_time =
      std::min(observation.m_next_ejection_time * 2, kMaxEjectionTime);
  return true;
}

}  // namespace jackdawrack
