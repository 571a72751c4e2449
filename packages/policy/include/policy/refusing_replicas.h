#pragma once

#include <map>

#include "core/clock.h"
#include "policy/slow_replicas.h"

namespace jackdawrack {

/// Backoff for replicas that refuse requests without executing them.
///
/// A replica is avoided for a time after a refusal. The time doubles with each
/// further refusal and is reset by a successful response. Without the backoff,
/// a replica that sheds load would cause a refusal in every query. Not
/// thread-safe.
class RefusingReplicas final {
 public:
  /// Backoff time after the first refusal.
  static constexpr Milliseconds kInitialBackoff{100};
  /// Upper limit of the backoff time.
  static constexpr Milliseconds kMaxBackoff{2'000};

  /// Records a refusal. One that arrives while the replica is avoided is
  /// ignored, since it answers a request sent before the backoff began.
  void RecordRefusal(const ReplicaKey& replica, TimePoint now);

  /// Records a successful response, which resets the backoff of the replica.
  void RecordSuccess(const ReplicaKey& replica);

  /// Adds the replicas whose backoff has not ended at `now` to `avoided`.
  void AddReplicasToAvoid(ReplicaSet& avoided, TimePoint now) const;

 private:
  struct Refusal {
    TimePoint m_avoided_until{};
    Milliseconds m_backoff = kInitialBackoff;
  };

  std::map<ReplicaKey, Refusal> m_refusals;
};

}  // namespace jackdawrack
