#include "policy/slow_replicas.h"

#include <algorithm>
#include <vector>

namespace jackdawrack {
namespace {

/// The expected latency moves by one part in this many towards a faster
/// response.
constexpr int kFasterDivisor = 4;

/// Replicas of a domain that a meaningful median needs.
constexpr std::size_t kLeastSiblings = 3;

Duration MedianOf(std::vector<Duration> values) {
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

void SlowReplicas::Record(const ReplicaKey& replica, Duration latency) {
  Observation& seen = m_observations[replica];
  const bool is_slower = seen.m_samples == 0 || latency >= seen.m_expected;
  seen.m_expected = is_slower ? latency
                              : seen.m_expected + (latency - seen.m_expected) /
                                                      kFasterDivisor;
  ++seen.m_samples;
}

std::uint32_t SlowReplicas::Evaluate(TimePoint now) {
  std::map<FailureDomain, DomainLoad> domains = Summarise();
  std::uint32_t newly_ejected = 0;
  m_avoided = 0;
  for (auto& [replica, seen] : m_observations) {
    newly_ejected += Judge(seen, domains[replica.m_domain], now) ? 1 : 0;
    m_avoided += seen.m_state == State::kLive ? 0 : 1;
  }
  return newly_ejected;
}

ReplicaSet SlowReplicas::ToAvoid() {
  ReplicaSet avoid;
  if (m_avoided == 0) {
    return avoid;
  }
  const bool is_trial = ++m_turn % kTrialPart == 0;
  for (const auto& [replica, seen] : m_observations) {
    if (seen.m_state == State::kEjected ||
        (seen.m_state == State::kOnTrial && !is_trial)) {
      avoid.insert(replica);
    }
  }
  return avoid;
}

ReplicaSet SlowReplicas::OnTrial() const {
  ReplicaSet on_trial;
  if (m_avoided == 0) {
    return on_trial;
  }
  for (const auto& [replica, seen] : m_observations) {
    if (seen.m_state == State::kOnTrial) {
      on_trial.insert(replica);
    }
  }
  return on_trial;
}

std::map<FailureDomain, SlowReplicas::DomainLoad> SlowReplicas::Summarise()
    const {
  std::map<FailureDomain, std::vector<Duration>> latencies;
  std::map<FailureDomain, DomainLoad> domains;
  for (const auto& [replica, seen] : m_observations) {
    if (seen.m_samples >= kLeastSamples) {
      latencies[replica.m_domain].push_back(seen.m_expected);
    }
    DomainLoad& domain = domains[replica.m_domain];
    ++domain.m_count;
    domain.m_ejected += seen.m_state == State::kLive ? 0 : 1;
  }
  for (auto& [domain, values] : latencies) {
    if (values.size() >= kLeastSiblings) {
      domains[domain].m_median = MedianOf(std::move(values));
    }
  }
  return domains;
}

bool SlowReplicas::Judge(Observation& seen,
                         DomainLoad& domain,
                         TimePoint now) const {
  // Start the trial once the ejection time has passed
  if (seen.m_state == State::kEjected) {
    if (now >= seen.m_ejected_until) {
      seen.m_state = State::kOnTrial;
      seen.m_samples = 0;
    }
    return false;
  }
  if (seen.m_samples < kLeastSamples || domain.m_median == Duration::zero()) {
    return false;
  }

  // End the trial of a replica that is no longer slow
  const bool is_slow = seen.m_expected > domain.m_median * kSlowFactor &&
                       seen.m_expected > domain.m_median + kSlowMargin;
  if (!is_slow) {
    if (seen.m_state == State::kOnTrial) {
      seen.m_state = State::kLive;
      seen.m_next_ejection = kFirstEjection;
      --domain.m_ejected;
    }
    return false;
  }

  // Eject the replica unless too many are ejected; one on trial is counted
  // already
  const auto allowed = std::max<std::size_t>(
      1, static_cast<std::size_t>(kGreatestShare *
                                  static_cast<double>(domain.m_count)));
  if (seen.m_state == State::kLive && domain.m_ejected >= allowed) {
    return false;
  }
  domain.m_ejected += seen.m_state == State::kLive ? 1 : 0;
  seen.m_state = State::kEjected;
  seen.m_ejected_until = now + seen.m_next_ejection;
  seen.m_next_ejection = std::min(seen.m_next_ejection * 2, kLongestEjection);
  return true;
}

}  // namespace jackdawrack
