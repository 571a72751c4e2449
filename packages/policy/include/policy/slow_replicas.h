#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "core/clock.h"
#include "model/ids.h"

namespace jackdawrack {

/// One replica as an entry sees it: a shard in a failure domain.
struct ReplicaKey {
  FailureDomain m_domain;
  /// First key of the shard.
  std::uint64_t m_shard_begin = 0;

  friend auto operator<=>(const ReplicaKey&, const ReplicaKey&) = default;
  friend bool operator==(const ReplicaKey&, const ReplicaKey&) = default;
};

using ReplicaSet = std::set<ReplicaKey>;

/// Finds replicas that are much slower than their siblings in the same domain,
/// by the latency of answers. One late answer suffices: the expected latency
/// follows a slower answer at once and a faster one by and by. At most a share
/// of the replicas is ejected at a time. An ejected one is tried again after a
/// while with a small part of its requests; still slow, it is ejected for twice
/// as long.
class SlowReplicas final {
 public:
  /// A replica is slow above this multiple of the median and this margin.
  static constexpr int kSlowFactor = 3;
  static constexpr Milliseconds kSlowMargin{5};
  /// Answers needed before a replica is judged.
  static constexpr std::uint32_t kLeastSamples = 1;
  /// Greatest share of a domain's replicas ejected; one is always allowed.
  static constexpr double kGreatestShare = 0.1;
  static constexpr Milliseconds kFirstEjection{2'000};
  static constexpr Milliseconds kLongestEjection{30'000};
  /// While on trial, one in this many requests goes to the replica.
  static constexpr std::uint32_t kTrialPart = 16;

  /// A withdrawn answer counts as this multiple of the time it had taken, as
  /// hedges would else hide how slow a replica is.
  static constexpr int kWithdrawnFactor = 2;

  /// Notes the latency of an answer.
  void Record(const ReplicaKey& replica, Duration latency);

  /// Notes that another replica answered first, after `waited`.
  void RecordWithdrawn(const ReplicaKey& replica, Duration waited) {
    Record(replica, waited * kWithdrawnFactor);
  }

  /// Judges all replicas and returns how many were newly ejected.
  std::uint32_t Evaluate(TimePoint now);

  /// The replicas that this query has to avoid; varies from call to call for
  /// those on trial.
  [[nodiscard]] ReplicaSet ToAvoid();

  /// The replicas on trial; a request that tries one is to be sent elsewhere
  /// too, as the replica is likely to be slow still.
  [[nodiscard]] ReplicaSet OnTrial() const;

 private:
  enum class State : std::uint8_t { kLive, kEjected, kOnTrial };

  struct Observation {
    Duration m_expected{};
    std::uint32_t m_samples = 0;
    State m_state = State::kLive;
    TimePoint m_ejected_until{};
    Milliseconds m_next_ejection = kFirstEjection;
  };

  struct DomainLoad {
    Duration m_median{};
    std::size_t m_count = 0;
    std::size_t m_ejected = 0;
  };

  [[nodiscard]] std::map<FailureDomain, DomainLoad> Summarise() const;
  bool Judge(Observation& record, DomainLoad& domain, TimePoint now) const;

  std::map<ReplicaKey, Observation> m_observations;
  std::uint32_t m_turn = 0;
  std::size_t m_avoided = 0;
};

}  // namespace jackdawrack
