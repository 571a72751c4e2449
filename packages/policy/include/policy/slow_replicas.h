#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "core/clock.h"
#include "model/ids.h"

namespace jackdawrack {

/// Identifies a replica by its shard and failure domain.
struct ReplicaKey {
  FailureDomain m_domain;
  /// First key of the shard.
  std::uint64_t m_shard_begin = 0;

  friend auto operator<=>(const ReplicaKey&, const ReplicaKey&) = default;
  friend bool operator==(const ReplicaKey&, const ReplicaKey&) = default;
};

using ReplicaSet = std::set<ReplicaKey>;

/// Latency-based outlier detection for the replicas of one collection.
///
/// Ejects replicas that are much slower than the median of their failure
/// domain. The expected latency of a replica rises to a slower response at once
/// and falls gradually with faster ones, so that one late response is enough.
/// Only a limited fraction of a domain's replicas is ejected at a time. After
/// the ejection time a replica is on trial: it gets a small fraction of its
/// requests, and their latency decides whether it is used again or ejected for
/// twice as long. Not thread-safe.
class SlowReplicas final {
 public:
  /// A replica is slow if its expected latency exceeds both this multiple of
  /// the median and the median plus this margin.
  static constexpr int kSlowLatencyFactor = 3;
  static constexpr Milliseconds kSlowLatencyMargin{5};
  /// Responses needed before a replica is evaluated.
  static constexpr std::uint32_t kMinSamples = 1;
  /// Maximum fraction of a domain's replicas that is ejected or on trial; at
  /// least one replica is always allowed.
  static constexpr double kMaxEjectedFraction = 0.1;
  /// Time of the first ejection; doubles with each failed trial.
  static constexpr Milliseconds kInitialEjectionTime{2'000};
  /// Upper limit of the ejection time.
  static constexpr Milliseconds kMaxEjectionTime{30'000};
  /// A replica on trial gets one in this many of its requests.
  static constexpr std::uint32_t kRequestsPerTrial = 16;

  /// A request without a response counts as this multiple of the time waited.
  /// Otherwise hedges that win would hide how slow a replica is.
  static constexpr int kUnansweredFactor = 2;

  /// Records the latency of a response.
  void Record(const ReplicaKey& replica, Duration latency);

  /// Records that `replica` has not responded within `waited`, for example
  /// because another replica responded first.
  void RecordUnanswered(const ReplicaKey& replica, Duration waited) {
    Record(replica, waited * kUnansweredFactor);
  }

  /// Updates the state of all replicas. Returns the number of new ejections.
  std::uint32_t Evaluate(TimePoint now);

  /// Returns the replicas that the next query has to avoid: the ejected ones
  /// and, except for one in `kRequestsPerTrial` calls, those on trial.
  [[nodiscard]] ReplicaSet ReplicasToAvoid();

  /// Returns the replicas on trial. Since they are probably still slow, a
  /// request sent to one should be sent to another replica too.
  [[nodiscard]] ReplicaSet ReplicasOnTrial() const;

 private:
  enum class State : std::uint8_t { kLive, kEjected, kOnTrial };

  struct Observation {
    Duration m_expected_latency{};
    std::uint32_t m_samples = 0;
    State m_state = State::kLive;
    TimePoint m_ejected_until{};
    Milliseconds m_next_ejection_time = kInitialEjectionTime;
  };

  struct DomainSummary {
    Duration m_median{};
    std::size_t m_count = 0;
    /// Replicas that are ejected or on trial.
    std::size_t m_ejected = 0;
  };

  [[nodiscard]] std::map<FailureDomain, DomainSummary> SummarizeDomains() const;
  bool UpdateState(Observation& observation,
                   DomainSummary& domain,
                   TimePoint now) const;

  std::map<ReplicaKey, Observation> m_observations;
  /// Calls of `ReplicasToAvoid` while a replica is ejected or on trial.
  std::uint32_t m_query_count = 0;
  /// Replicas that are ejected or on trial.
  std::size_t m_not_live_count = 0;
};

}  // namespace jackdawrack
