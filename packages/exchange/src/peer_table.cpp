#include "exchange/peer_table.h"

#include <algorithm>
#include <random>
#include <tuple>

namespace jackdawrack {
namespace {

bool IsNewer(const PeerEntry& entry, const PeerEntry& known) {
  return std::tie(entry.m_epoch, entry.m_heartbeat) >
         std::tie(known.m_epoch, known.m_heartbeat);
}

}  // namespace

PeerTable::PeerTable(PeerEntry self, std::vector<Endpoint> seeds)
    : m_self(std::move(self)) {
  SetSeeds(std::move(seeds));
}

void PeerTable::SetSeeds(std::vector<Endpoint> seeds) {
  m_seeds = std::move(seeds);
  std::erase(m_seeds, m_self.m_endpoint);
}

void PeerTable::MergeEntry(const PeerEntry& entry,
                           bool is_sender,
                           TimePoint now) {
  if (entry.m_id == m_self.m_id) {
    return;
  }
  const auto [position, is_new] =
      m_peers.try_emplace(entry.m_id, KnownPeer{entry, now});

  // The sender's own entry always replaces the known one: its epoch is a wall
  // clock time and may be lower after a restart
  if (!is_new && (is_sender || IsNewer(entry, position->second.m_entry))) {
    position->second = KnownPeer{entry, now};
  }
}

void PeerTable::Merge(const std::vector<PeerEntry>& entries, TimePoint now) {
  m_has_received_entries = m_has_received_entries || !entries.empty();
  for (std::size_t index = 0; index < entries.size(); ++index) {
    MergeEntry(entries[index], index == 0, now);
  }
  m_has_met_experienced_peer =
      m_has_met_experienced_peer ||
      (!entries.empty() && entries[0].m_heartbeat >= kYoungHeartbeats);
  RemoveExpired(now);
}

void PeerTable::MergeReported(const std::vector<PeerEntry>& entries,
                              TimePoint now) {
  for (const PeerEntry& entry : entries) {
    MergeEntry(entry, false, now);
  }
}

void PeerTable::RemoveExpired(TimePoint now) {
  const Milliseconds timeout = ShareTimeout() * kRememberedShareTimeouts;
  std::erase_if(m_peers, [now, timeout](const auto& item) {
    return now - item.second.m_updated_at > timeout;
  });
}

Milliseconds PeerTable::LiveTimeout() const {
  const auto further_messages =
      static_cast<Milliseconds::rep>(m_peers.size() / kMaxSentPeers);
  return kLiveTimeout + kLiveTimeoutPerMessage * further_messages;
}

Milliseconds PeerTable::ShareTimeout() const {
  return kShareTimeout + LiveTimeout() - kLiveTimeout;
}

bool PeerTable::IsLive(const KnownPeer& peer, TimePoint now) const {
  return now - peer.m_updated_at <= LiveTimeout();
}

std::vector<PeerEntry> PeerTable::Entries(std::uint64_t random_number,
                                          TimePoint now,
                                          std::size_t max_peers) const {
  std::vector<const KnownPeer*> live;
  for (const auto& [id, peer] : m_peers) {
    if (IsLive(peer, now)) {
      live.push_back(&peer);
    }
  }

  // Move entries drawn at random to the front: first some of this failure
  // domain, whose instances need to know each other soonest, then any
  const std::size_t sent_count = std::min(live.size(), max_peers);
  const std::size_t drawn_count = sent_count * 3 / 4;
  const auto local_end =
      std::partition(live.begin(), live.end(), [this](const KnownPeer* peer) {
        return peer->m_entry.m_domain == m_self.m_domain;
      });
  const auto local_count =
      static_cast<std::size_t>(std::distance(live.begin(), local_end));
  const std::size_t drawn_local_count = std::min(local_count, drawn_count / 2);
  std::minstd_rand generator(static_cast<std::uint32_t>(random_number));
  for (std::size_t index = 0; index < drawn_count; ++index) {
    const std::size_t end =
        index < drawn_local_count ? local_count : live.size();
    std::swap(live[index], live[index + generator() % (end - index)]);
  }

  // Put the most recently updated ones of the others behind it
  std::partial_sort(live.begin() + static_cast<std::ptrdiff_t>(drawn_count),
                    live.begin() + static_cast<std::ptrdiff_t>(sent_count),
                    live.end(), [](const KnownPeer* a, const KnownPeer* b) {
                      return a->m_updated_at > b->m_updated_at;
                    });

  std::vector<PeerEntry> entries{m_self};
  for (std::size_t index = 0; index < sent_count; ++index) {
    entries.push_back(live[index]->m_entry);
  }
  return entries;
}

std::vector<PeerEntry> PeerTable::LocalInstances(TimePoint now) const {
  std::vector<PeerEntry> instances{m_self};
  for (const auto& [id, peer] : m_peers) {
    if (peer.m_entry.m_domain == m_self.m_domain &&
        !peer.m_entry.m_is_leaving && IsLive(peer, now)) {
      instances.push_back(peer.m_entry);
    }
  }
  std::sort(
      instances.begin(), instances.end(),
      [](const PeerEntry& a, const PeerEntry& b) { return a.m_id < b.m_id; });
  return instances;
}

std::optional<Endpoint> PeerTable::PickTarget(std::uint64_t random_number,
                                              TimePoint now) {
  ++m_exchange_count;
  std::vector<const PeerEntry*> local;
  std::vector<const PeerEntry*> remote;
  for (const auto& [id, peer] : m_peers) {
    if (!peer.m_entry.m_is_leaving && IsLive(peer, now)) {
      const bool is_local = peer.m_entry.m_domain == m_self.m_domain;
      (is_local ? local : remote).push_back(&peer.m_entry);
    }
  }

  const bool has_peer = !local.empty() || !remote.empty();
  if (!m_seeds.empty() &&
      (!has_peer || m_exchange_count % kSeedInterval == 0)) {
    return m_seeds[random_number % m_seeds.size()];
  }
  if (!has_peer) {
    return std::nullopt;
  }
  const bool picks_remote =
      local.empty() ||
      (!remote.empty() && m_exchange_count % kRemoteInterval == 1);
  const auto& candidates = picks_remote ? remote : local;
  return candidates[random_number % candidates.size()]->m_endpoint;
}

std::map<FailureDomain, std::size_t> PeerTable::CountByDomain(
    TimePoint now) const {
  std::map<FailureDomain, std::size_t> counts;
  ++counts[m_self.m_domain];
  const Milliseconds timeout = ShareTimeout();
  for (const auto& [id, peer] : m_peers) {
    if (!peer.m_entry.m_is_leaving && now - peer.m_updated_at <= timeout) {
      ++counts[peer.m_entry.m_domain];
    }
  }
  return counts;
}

}  // namespace jackdawrack
