#pragma once

#include <map>
#include <unordered_map>

#include "policy/lease_messages.h"
#include "policy/lease_timing.h"

namespace jackdawrack {

/// Witness role of the lease protocol: promises each slot to at most one holder
/// at a time.
///
/// Promises are kept in memory only and expire on this process's monotonic
/// clock. A restarted process abstains until every promise of its predecessor
/// has expired.
class LeaseWitness final {
 public:
  /// `started` is the start of the process; the abstention counts from it.
  LeaseWitness(LeaseTiming timing, TimePoint started);

  /// Votes on one request; promises granted by it count from `now`.
  LeaseVotes Vote(const LeaseRequest& request, TimePoint now);

  /// True once the abstention after the start has ended.
  [[nodiscard]] bool IsActive(TimePoint now) const {
    return now >= m_active_from;
  }

  /// Time from which this witness votes.
  [[nodiscard]] TimePoint ActiveFrom() const { return m_active_from; }

 private:
  struct Promise {
    LeaseHolderId m_holder;
    TimePoint m_until{};
    /// Time at which the last promise to another holder ended.
    TimePoint m_no_other_holder_since{};
  };

  bool RecordIfNewest(const LeaseRequest& request);
  void Release(const LeaseRequest& request, TimePoint now);
  void Transfer(const LeaseRequest& request, TimePoint now);
  void VoteOnSlot(const LeaseRequest& request,
                  KeySlot slot,
                  TimePoint now,
                  LeaseVotes& votes);

  const LeaseTiming m_timing;
  const TimePoint m_active_from;
  std::unordered_map<KeySlot, Promise> m_promises;
  /// Highest round number received from each process.
  std::map<LeaseHolderId, std::uint64_t> m_last_rounds;
};

}  // namespace jackdawrack
