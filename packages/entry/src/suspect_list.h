#pragma once

#include <unordered_map>

#include "core/clock.h"
#include "core/ranked_mutex.h"
#include "model/ids.h"

namespace jackdawrack {

/// Instances that lately did not answer; they are asked last for a while.
class SuspectList final {
 public:
  /// Notes that an instance did not answer.
  void Add(const InstanceId& instance, TimePoint now) {
    const std::lock_guard lock(m_mutex);
    m_until[instance] = now + kSuspicion;
  }

  /// Notes that an instance answered.
  void Remove(const InstanceId& instance) {
    const std::lock_guard lock(m_mutex);
    m_until.erase(instance);
  }

  [[nodiscard]] bool Contains(const InstanceId& instance, TimePoint now) const {
    const std::lock_guard lock(m_mutex);
    const auto found = m_until.find(instance);
    return found != m_until.end() && now < found->second;
  }

 private:
  /// Time until the next request tries the instance again.
  static constexpr Milliseconds kSuspicion{3000};

  mutable RankedMutex m_mutex{LockRank::kMembership};
  std::unordered_map<InstanceId, TimePoint> m_until;
};

}  // namespace jackdawrack
