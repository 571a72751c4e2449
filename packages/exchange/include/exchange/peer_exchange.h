#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>

#include "exchange/peer_message.h"
#include "net/net_error.h"

namespace jackdawrack {

/// What a peer exchange is built from.
struct PeerExchangeSettings {
  /// This instance; its endpoint is listened on.
  PeerEntry m_self;
  /// Peers to begin with; some may be gone.
  std::vector<Endpoint> m_seeds;
  /// Pause between two exchanges, and while the published state is missing.
  Milliseconds m_period{2'000};
  Milliseconds m_urgent_period{150};
};

/// What an exchange needs to know of this instance, and tells it.
struct PeerExchangeCallbacks {
  /// Store revision that this instance knows; 0 for none.
  std::function<std::uint64_t()> m_revision;
  /// True while the store cannot be read.
  std::function<bool()> m_needs_snapshot;
  /// What is published, for a peer that cannot read the store.
  std::function<std::optional<PublishedSnapshot>()> m_make_snapshot;
  /// Takes what a peer knows and is newer.
  std::function<void(const PublishedSnapshot&)> m_on_snapshot;
  /// Takes how many instances there are, by failure domain.
  std::function<void(std::map<FailureDomain, std::size_t>)> m_on_fleet;
};

/// Tells peers who lives, a few at a time, and gets from them what is published
/// while the store does not answer.
class PeerExchange final {
 public:
  /// `context` outlives the exchange.
  PeerExchange(boost::asio::io_context& context,
               PeerExchangeSettings settings,
               PeerExchangeCallbacks callbacks);
  ~PeerExchange();

  PeerExchange(const PeerExchange&) = delete;
  PeerExchange& operator=(const PeerExchange&) = delete;

  /// Listens and begins to exchange; the error names the address.
  NetResult<void> Start();

  /// Takes other peers to begin with.
  void SetSeeds(std::vector<Endpoint> seeds);

  /// Tells peers from now on that this instance leaves.
  void Leave();

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace jackdawrack
