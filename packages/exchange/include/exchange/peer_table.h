#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "exchange/peer_message.h"

namespace jackdawrack {

/// Membership table of the other instances known to this one.
///
/// Instances discover each other through seed addresses and exchange the
/// entries that they know. An instance is counted in the split of shared
/// budgets until it announces that it is leaving or has not been heard of for a
/// long time, because a peer that is only unreachable still uses its share.
class PeerTable final {
 public:
  /// A peer without a newer entry for this long is no longer contacted or
  /// reported to others. In a fleet whose entries need several messages, the
  /// timeout is longer, as each entry arrives less often.
  static constexpr Milliseconds kLiveTimeout{10'000};
  /// The part of the timeout that is added for each further message that the
  /// entries of the fleet need.
  static constexpr Milliseconds kLiveTimeoutPerMessage{6'000};
  /// A peer without a newer entry for this long is no longer counted in the
  /// split of budgets; longer in the same proportion.
  static constexpr Milliseconds kShareTimeout{60'000};
  /// Number of share timeouts after which a peer is removed. Until then its old
  /// entry, which may still arrive from others, does not count as news.
  static constexpr int kRememberedShareTimeouts = 4;
  /// Maximum number of peer entries in one message, besides that of this
  /// instance. A quarter are the most recently updated ones, by which news
  /// spreads fast; the others are drawn at random, by which every entry
  /// spreads.
  static constexpr std::size_t kMaxSentPeers = 48;
  /// The same for a message to an instance that has started recently.
  static constexpr std::size_t kMaxPeersSentToYoung = 128;
  /// Number of own heartbeats for which this instance counts as young, and of a
  /// peer's from which on that peer has met the others.
  static constexpr std::uint64_t kYoungHeartbeats = 16;
  /// One in this many exchanges contacts a seed, so that a partitioned fleet
  /// merges again once the network partition has ended.
  static constexpr std::uint64_t kSeedInterval = 8;
  /// One in this many exchanges contacts a peer of another failure domain.
  static constexpr std::uint64_t kRemoteInterval = 4;

  /// `self` is the entry of this instance; its endpoint is removed from
  /// `seeds`.
  PeerTable(PeerEntry self, std::vector<Endpoint> seeds);

  /// Replaces the seed addresses; that of this instance is removed from them.
  void SetSeeds(std::vector<Endpoint> seeds);

  /// Increments the heartbeat counter of this instance.
  void IncrementHeartbeat() { ++m_self.m_heartbeat; }

  /// Marks the entry of this instance as leaving.
  void MarkLeaving() { m_self.m_is_leaving = true; }

  /// Merges the entries received from a peer; the first is the peer's own.
  void Merge(const std::vector<PeerEntry>& entries, TimePoint now);

  /// Merges entries that a peer reported of others.
  void MergeReported(const std::vector<PeerEntry>& entries, TimePoint now);

  /// Returns the entry of this instance and those of at most `max_peers` live
  /// peers. `random_number` selects those that are drawn at random.
  [[nodiscard]] std::vector<PeerEntry> Entries(
      std::uint64_t random_number,
      TimePoint now,
      std::size_t max_peers = kMaxSentPeers) const;

  /// Number of peers to send in the reply to a message of `sender`.
  [[nodiscard]] static std::size_t MaxPeersFor(const PeerEntry& sender) {
    return sender.m_heartbeat < kYoungHeartbeats ? kMaxPeersSentToYoung
                                                 : kMaxSentPeers;
  }

  /// Returns the live instances of this instance's failure domain, including
  /// itself, ordered by id.
  [[nodiscard]] std::vector<PeerEntry> LocalInstances(TimePoint now) const;

  /// True once the entries of a peer were received that has been running for
  /// some time and therefore knows the others, or if there are no seeds.
  [[nodiscard]] bool HasDiscoveredPeers() const {
    return m_has_met_experienced_peer || m_seeds.empty();
  }

  /// True for the first `kYoungHeartbeats` exchanges of this instance.
  [[nodiscard]] bool IsYoung() const {
    return m_self.m_heartbeat < kYoungHeartbeats;
  }

  /// Returns the address to contact next, selected by the random value
  /// `random_number`, or nothing if there is neither a live peer nor a seed.
  [[nodiscard]] std::optional<Endpoint> PickTarget(std::uint64_t random_number,
                                                   TimePoint now);

  /// Returns the number of instances per failure domain that use a share of the
  /// budgets, including this one.
  [[nodiscard]] std::map<FailureDomain, std::size_t> CountByDomain(
      TimePoint now) const;

  /// Returns true once entries were received from a peer, or if there are no
  /// seeds to contact.
  [[nodiscard]] bool IsInitialized() const {
    return m_has_received_entries || m_seeds.empty();
  }

 private:
  struct KnownPeer {
    PeerEntry m_entry;
    TimePoint m_updated_at{};
  };

  void MergeEntry(const PeerEntry& entry, bool is_sender, TimePoint now);
  void RemoveExpired(TimePoint now);
  [[nodiscard]] Milliseconds LiveTimeout() const;
  [[nodiscard]] Milliseconds ShareTimeout() const;
  [[nodiscard]] bool IsLive(const KnownPeer& peer, TimePoint now) const;

  PeerEntry m_self;
  std::vector<Endpoint> m_seeds;
  std::map<InstanceId, KnownPeer> m_peers;
  std::uint64_t m_exchange_count = 0;
  bool m_has_received_entries = false;
  bool m_has_met_experienced_peer = false;
};

}  // namespace jackdawrack
