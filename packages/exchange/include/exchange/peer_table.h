#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "exchange/peer_message.h"

namespace jackdawrack {

/// The other instances, as far as they are heard of.
///
/// Instances find each other through seeds and tell one another whom they know.
/// An instance counts for the shares of budgets until it has said that it
/// leaves or has been silent for long: a peer that is merely cut off still uses
/// its share.
class PeerTable final {
 public:
  /// A peer that was heard of within this time is asked.
  static constexpr Milliseconds kLiveTime{10'000};
  /// A silent peer counts for shares until then.
  static constexpr Milliseconds kCountedTime{60'000};
  /// Entries in one message at most; those heard of last go first.
  static constexpr std::size_t kMaxSent = 32;
  /// One in so many exchanges goes to a seed, so that parts of the fleet that
  /// lost each other meet again.
  static constexpr std::uint64_t kSeedTurn = 8;
  /// One in so many exchanges leaves the failure domain.
  static constexpr std::uint64_t kRemoteTurn = 4;

  PeerTable(PeerEntry self, std::vector<Endpoint> seeds);

  /// Takes other seeds; this instance is left out of them.
  void SetSeeds(std::vector<Endpoint> seeds);

  /// Counts up this instance's own beat.
  void Beat() { ++m_self.m_beat; }

  /// Tells from now on that this instance leaves.
  void Leave() { m_self.m_is_leaving = true; }

  /// Takes what a peer tells; its own entry is the first.
  void Merge(const std::vector<PeerEntry>& entries, TimePoint now);

  /// This instance and the peers heard of last.
  [[nodiscard]] std::vector<PeerEntry> Entries(TimePoint now) const;

  /// Whom to ask next; `draw` is a random number. Nothing if nobody is known.
  [[nodiscard]] std::optional<Endpoint> PickTarget(std::uint64_t draw,
                                                   TimePoint now);

  /// Instances by failure domain that use shares, this one included.
  [[nodiscard]] std::map<FailureDomain, std::size_t> CountByDomain(
      TimePoint now) const;

  /// True once a peer has told what it knows, or there is nobody to ask.
  [[nodiscard]] bool IsInformed() const {
    return m_is_informed || m_seeds.empty();
  }

 private:
  struct Known {
    PeerEntry m_entry;
    TimePoint m_heard_at{};
  };

  void Take(const PeerEntry& entry, bool is_sender, TimePoint now);

  PeerEntry m_self;
  std::vector<Endpoint> m_seeds;
  std::map<InstanceId, Known> m_peers;
  std::uint64_t m_turn = 0;
  bool m_is_informed = false;
};

}  // namespace jackdawrack
