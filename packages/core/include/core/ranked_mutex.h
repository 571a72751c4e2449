#pragma once

#include <mutex>

namespace jackdawrack {

/// Order in which tables may be locked; a thread locks only upwards.
enum class LockRank : int {
  kFleetState = 10,
  kConfigStore = 20,
  kMembership = 30,
  kPeerPool = 40,
  kOwnerTable = 50,
  kUpstreamTable = 60,
  kLimits = 70,
  kQueryTables = 75,
  kTrace = 80,
  kMetrics = 90,
};

/// A mutex that asserts the stated lock order in every build.
class RankedMutex final {
 public:
  explicit RankedMutex(LockRank rank) : m_rank(rank) {}

  /// Locks; fails a check if this thread holds a mutex of this rank or above.
  void lock();

  /// Unlocks; the mutex has to be the last one that this thread locked.
  void unlock();

 private:
  std::mutex m_mutex;
  const LockRank m_rank;
};

}  // namespace jackdawrack
