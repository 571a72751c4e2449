#pragma once

#include <cstddef>
#include <deque>
#include <set>

#include "core/clock.h"
#include "model/ids.h"

namespace jackdawrack {

/// The share of every contract that an instance may use without borrowing from
/// peers: one divided by the number of listed instances.
///
/// Instances read a new instance list at different times. To keep the sum of
/// all base shares at or below 1 meanwhile, a longer list takes effect at once
/// and a shorter one only after the list lag. An instance that has just been
/// listed uses its share only once enough peers have confirmed that their list
/// contains it, or after the list lag. Not thread-safe.
class BaseShare final {
 public:
  /// `list_lag` is the longest time from the publication of an instance list
  /// until every instance has read it.
  explicit BaseShare(Milliseconds list_lag) : m_list_lag(list_lag) {}

  /// Sets the size of the instance list in use, and whether the list contains
  /// this instance. A list that contains it has at least one instance.
  void SetInstanceList(std::size_t instance_count,
                       bool is_listed,
                       TimePoint now);

  /// Records that the list which `peer` uses contains this instance.
  void RecordConfirmation(const InstanceId& peer);

  /// Returns the usable share, from 0 to 1; 0 while this instance is not listed
  /// or not confirmed.
  [[nodiscard]] double UsableFraction(TimePoint now) const;

 private:
  struct ListSize {
    std::size_t m_instance_count = 0;
    /// When the next list replaced this one; `TimePoint::max()` while in use.
    TimePoint m_replaced_at = TimePoint::max();
  };

  [[nodiscard]] bool IsConfirmed(TimePoint now) const;

  const Milliseconds m_list_lag;
  std::deque<ListSize> m_list_sizes;
  bool m_is_listed = false;
  TimePoint m_listed_at{};
  std::set<InstanceId> m_confirmations;
};

}  // namespace jackdawrack
