#pragma once

#include <unordered_map>

#include "core/clock.h"
#include "core/ranked_mutex.h"
#include "model/ids.h"

namespace jackdawrack {

/// Instances that recently did not answer or could not run a request. For a
/// limited time they are called only after all others. Thread-safe.
class SuspectList final {
 public:
  /// Adds an instance that did not answer or could not run a request.
  void Add(const InstanceId& instance, TimePoint now) {
    const std::lock_guard lock(m_mutex);
    m_suspect_until[instance] = now + kSuspectDuration;
  }

  /// Removes an instance that answered.
  void Remove(const InstanceId& instance) {
    const std::lock_guard lock(m_mutex);
    m_suspect_until.erase(instance);
  }

  [[nodiscard]] bool Contains(const InstanceId& instance, TimePoint now) const {
    const std::lock_guard lock(m_mutex);
    const auto found = m_suspect_until.find(instance);
    return found != m_suspect_until.end() && now < found->second;
  }

 private:
  /// Time that an instance stays suspect.
  static constexpr Milliseconds kSuspectDuration{3000};

  mutable RankedMutex m_mutex{LockRank::kMembership};
  std::unordered_map<InstanceId, TimePoint> m_suspect_until;
};

}  // namespace jackdawrack
