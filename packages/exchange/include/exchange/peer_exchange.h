#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>

#include "exchange/peer_message.h"
#include "net/http_server.h"

namespace jackdawrack {

/// Settings of a peer exchange.
struct PeerExchangeSettings {
  /// This instance; the exchange listens on its endpoint.
  PeerEntry m_self;
  /// Initial contact addresses; some of them may be unreachable.
  std::vector<Endpoint> m_seeds;
  /// Delay between two exchanges, before random jitter.
  Milliseconds m_period{2'000};
  /// The same for an instance that has started recently.
  Milliseconds m_young_period{500};
  /// The same while the store is unavailable or no peer has answered yet.
  Milliseconds m_urgent_period{150};
};

/// Callbacks through which an exchange reads the state of this instance and
/// delivers what it receives from peers.
struct PeerExchangeCallbacks {
  /// Returns the store revision known to this instance; 0 if none.
  std::function<std::uint64_t()> m_revision;
  /// Returns true while the store cannot be read.
  std::function<bool()> m_needs_snapshot;
  /// Returns the published state for a peer that cannot read the store, or
  /// nothing if there is none.
  std::function<std::optional<PublishedSnapshot>()> m_make_snapshot;
  /// Receives a newer snapshot of the published state from a peer.
  std::function<void(const PublishedSnapshot&)> m_on_snapshot;
  /// Receives the number of instances by failure domain.
  std::function<void(std::map<FailureDomain, std::size_t>)>
      m_on_instance_counts;
  /// Called after each exchange of entries with a peer, which knows the store
  /// revision `revision`.
  std::function<void(std::uint64_t revision)> m_on_exchange;
  /// Handles requests of peers to the path `UpdateRelay::kTarget`.
  HttpServer::Handler m_on_update_poll;
};

/// Gossip protocol between instances: periodically exchanges membership entries
/// with one peer, and obtains the published state from peers while the store is
/// unavailable.
class PeerExchange final {
 public:
  /// `context` must outlive the exchange.
  PeerExchange(boost::asio::io_context& context,
               PeerExchangeSettings settings,
               PeerExchangeCallbacks callbacks);
  ~PeerExchange();

  PeerExchange(const PeerExchange&) = delete;
  PeerExchange& operator=(const PeerExchange&) = delete;

  /// Starts to listen and to exchange messages. An error names the listen
  /// address.
  NetResult<void> Start();

  /// Replaces the initial contact addresses.
  void SetSeeds(std::vector<Endpoint> seeds);

  /// Merges entries that a peer sent by another message.
  void MergeEntries(const std::vector<PeerEntry>& entries);

  /// Returns the live instances of this instance's failure domain, including
  /// itself.
  [[nodiscard]] std::vector<PeerEntry> LocalInstances() const;

  /// True once the entries of a peer that has been running for some time were
  /// received, or if there are no seeds to contact.
  [[nodiscard]] bool HasDiscoveredPeers() const;

  /// Announces to peers, from now on, that this instance is shutting down.
  void AnnounceLeaving();

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace jackdawrack
