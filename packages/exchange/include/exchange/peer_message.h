#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "model/endpoint.h"
#include "model/ids.h"
#include "routing/replica_record.h"
#include "routing/routing_config.h"

namespace jackdawrack {

/// One instance as others tell of it.
struct PeerEntry {
  InstanceId m_id;
  FailureDomain m_domain;
  Endpoint m_endpoint;
  /// Differs between two starts of the instance.
  std::uint64_t m_epoch = 0;
  /// Counted up by the instance itself while it runs.
  std::uint64_t m_beat = 0;
  bool m_is_leaving = false;

  friend bool operator==(const PeerEntry&, const PeerEntry&) = default;
};

/// All that is published, as one instance knows it.
struct PublishedSnapshot {
  /// Store revision up to which it is complete.
  std::uint64_t m_revision = 0;
  RoutingConfig m_config;
  std::vector<ReplicaRecord> m_replicas;
  /// Those of them whose records are missing in the store since an outage.
  std::vector<UpstreamId> m_missing;

  friend bool operator==(const PublishedSnapshot&,
                         const PublishedSnapshot&) = default;
};

/// What two instances send each other.
struct PeerMessage {
  /// The sender first, then others that it has heard of.
  std::vector<PeerEntry> m_peers;
  /// Store revision that the sender knows; 0 for none.
  std::uint64_t m_revision = 0;
  /// The sender cannot read the store and asks for what is published.
  bool m_wants_snapshot = false;
  /// Given where it was asked for and is newer.
  std::optional<PublishedSnapshot> m_snapshot;

  friend bool operator==(const PeerMessage&, const PeerMessage&) = default;
};

/// The message as bytes.
[[nodiscard]] std::string EncodePeerMessage(const PeerMessage& message);

/// The message in `bytes`; nothing if they are malformed or of another format.
[[nodiscard]] std::optional<PeerMessage> DecodePeerMessage(
    std::string_view bytes);

}  // namespace jackdawrack
