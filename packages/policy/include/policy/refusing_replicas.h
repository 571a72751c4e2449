#pragma once

#include <map>

#include "core/clock.h"
#include "policy/slow_replicas.h"

namespace jackdawrack {

/// Replicas that refused requests without running them, by own observation.
///
/// One is avoided for a while after a refusal, for twice as long after the
/// next, and forgiven by an answer. So a replica that sheds load costs a
/// refusal now and then instead of one for every query.
class RefusingReplicas final {
 public:
  static constexpr Milliseconds kFirstPause{100};
  static constexpr Milliseconds kLongestPause{2'000};

  /// Notes a refusal; one that comes while the replica is avoided already was
  /// on its way before and changes nothing.
  void RecordRefusal(const ReplicaKey& replica, TimePoint now);

  /// Notes an answer of a replica.
  void RecordAnswer(const ReplicaKey& replica);

  /// Adds the replicas to avoid now to `avoided`.
  void AddTo(ReplicaSet& avoided, TimePoint now) const;

 private:
  struct Refusal {
    TimePoint m_avoided_until{};
    Milliseconds m_pause = kFirstPause;
  };

  std::map<ReplicaKey, Refusal> m_refusals;
};

}  // namespace jackdawrack
