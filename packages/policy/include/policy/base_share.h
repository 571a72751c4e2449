#pragma once

#include <cstddef>
#include <deque>
#include <set>

#include "core/clock.h"
#include "model/ids.h"

namespace jackdawrack {

/// The part of every contract that an instance may use by itself: one over the
/// number of listed instances.
///
/// Lists lag and differ for a while. A greater count takes effect at once and
/// a smaller one only after the list lag; an instance that is new in the list
/// uses its part only once peers say that they count it, or after the lag. So
/// the parts of all instances never sum to more than one.
class BaseShare final {
 public:
  /// `list_lag` is the longest time until every instance has read a list.
  explicit BaseShare(Milliseconds list_lag) : m_list_lag(list_lag) {}

  /// Notes the list in use: how many instances it names, and whether this one
  /// is among them as live.
  void SetList(std::size_t instances, bool is_listed, TimePoint now);

  /// Notes that a peer counts this instance.
  void ConfirmedBy(const InstanceId& peer);

  /// The usable part, from 0 to 1.
  [[nodiscard]] double Fraction(TimePoint now) const;

 private:
  struct Count {
    std::size_t m_instances = 0;
    /// When the next list replaced this one; the greatest time while in use.
    TimePoint m_replaced_at = TimePoint::max();
  };

  [[nodiscard]] bool IsCountedByPeers(TimePoint now) const;

  const Milliseconds m_list_lag;
  std::deque<Count> m_counts;
  bool m_is_listed = false;
  TimePoint m_listed_at{};
  std::set<InstanceId> m_confirmations;
};

}  // namespace jackdawrack
