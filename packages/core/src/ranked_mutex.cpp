#include "core/ranked_mutex.h"

#include <array>

#include "core/check.h"

namespace jackdawrack {
namespace {

constexpr std::size_t kMaxHeldLocks = 8;

struct HeldLocks {
  std::array<LockRank, kMaxHeldLocks> m_ranks{};
  std::size_t m_count = 0;
};

thread_local HeldLocks t_held;

}  // namespace

void RankedMutex::lock() {
  // Check that the order of ranks is kept before waiting
  JR_CHECK(t_held.m_count < kMaxHeldLocks);
  JR_CHECK(t_held.m_count == 0 || t_held.m_ranks[t_held.m_count - 1] < m_rank);

  m_mutex.lock();
  t_held.m_ranks[t_held.m_count] = m_rank;
  ++t_held.m_count;
}

void RankedMutex::unlock() {
  JR_CHECK(t_held.m_count > 0);
  JR_CHECK(t_held.m_ranks[t_held.m_count - 1] == m_rank);
  --t_held.m_count;
  m_mutex.unlock();
}

}  // namespace jackdawrack
