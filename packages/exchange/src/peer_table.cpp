#include "exchange/peer_table.h"

#include <algorithm>
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
  std::erase_if(m_peers, [now](const auto& item) {
    return now - item.second.m_updated_at > kShareTimeout;
  });
}

std::vector<PeerEntry> PeerTable::Entries(TimePoint now) const {
  std::vector<const KnownPeer*> known;
  for (const auto& [id, peer] : m_peers) {
    if (now - peer.m_updated_at <= kLiveTimeout) {
      known.push_back(&peer);
    }
  }
  const std::size_t sent_count = std::min(known.size(), kMaxSentPeers);
  std::partial_sort(known.begin(),
                    known.begin() + static_cast<std::ptrdiff_t>(sent_count),
                    known.end(), [](const KnownPeer* a, const KnownPeer* b) {
                      return a->m_updated_at > b->m_updated_at;
                    });

  std::vector<PeerEntry> entries{m_self};
  for (std::size_t index = 0; index < sent_count; ++index) {
    entries.push_back(known[index]->m_entry);
  }
  return entries;
}

std::optional<Endpoint> PeerTable::PickTarget(std::uint64_t random_number,
                                              TimePoint now) {
  ++m_exchange_count;
  std::vector<const PeerEntry*> local;
  std::vector<const PeerEntry*> remote;
  for (const auto& [id, peer] : m_peers) {
    if (!peer.m_entry.m_is_leaving && now - peer.m_updated_at <= kLiveTimeout) {
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
  for (const auto& [id, peer] : m_peers) {
    if (!peer.m_entry.m_is_leaving &&
        now - peer.m_updated_at <= kShareTimeout) {
      ++counts[peer.m_entry.m_domain];
    }
  }
  return counts;
}

}  // namespace jackdawrack
