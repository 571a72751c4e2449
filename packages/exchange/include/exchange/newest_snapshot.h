#pragma once

#include <optional>

#include "core/clock.h"
#include "exchange/peer_message.h"

namespace jackdawrack {

/// Collects the snapshots that peers offer to an instance which has started
/// while the store is away. A single peer may hold an old view, by which an
/// upstream that has left or a route that was withdrawn would be used again, so
/// that the newest snapshot of several peers is taken.
class NewestSnapshot final {
 public:
  /// Time from the first offer until the newest one is taken.
  static constexpr Milliseconds kCollectTime{350};

  /// Keeps the snapshot if it is newer than those offered before.
  void Offer(const PublishedSnapshot& snapshot, TimePoint now);

  /// Returns the newest snapshot once enough time has passed since the first
  /// offer; nothing before that, and after it was returned.
  [[nodiscard]] std::optional<PublishedSnapshot> Take(TimePoint now);

 private:
  std::optional<PublishedSnapshot> m_newest;
  TimePoint m_first_offer_at{};
};

}  // namespace jackdawrack
