#pragma once

#include <map>
#include <unordered_map>

#include "policy/lease_messages.h"
#include "policy/lease_terms.h"

namespace jackdawrack {

/// The witness role: promises each slot to one holder at a time.
///
/// Promises are kept in memory on this process's monotonic clock. A process
/// just started has forgotten its promises and abstains until they have ended.
class LeaseWitness final {
 public:
  LeaseWitness(LeaseTerms terms, TimePoint started);

  /// Answers one ask; at `now` its promises begin.
  LeaseVotes Vote(const LeaseAsk& ask, TimePoint now);

  /// False while the process abstains.
  [[nodiscard]] bool IsActive(TimePoint now) const {
    return now >= m_active_from;
  }

  [[nodiscard]] TimePoint ActiveFrom() const { return m_active_from; }

 private:
  struct Promise {
    LeaseHolderId m_holder;
    TimePoint m_until{};
    /// When the last promise to another holder ended.
    TimePoint m_since{};
  };

  bool IsNewest(const LeaseAsk& ask);
  void Release(const LeaseAsk& ask, TimePoint now);
  void Transfer(const LeaseAsk& ask, TimePoint now);
  void VoteOnSlot(const LeaseAsk& ask,
                  KeySlot slot,
                  TimePoint now,
                  LeaseVotes& votes);

  const LeaseTerms m_terms;
  const TimePoint m_active_from;
  std::unordered_map<KeySlot, Promise> m_promises;
  /// Newest ask seen of each process of each instance.
  std::map<LeaseHolderId, std::uint64_t> m_newest;
};

}  // namespace jackdawrack
