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

/// Membership entry of one instance.
struct PeerEntry {
  InstanceId m_id;
  FailureDomain m_domain;
  Endpoint m_endpoint;
  /// Identifies one run of the instance; changes with each start.
  std::uint64_t m_epoch = 0;
  /// Heartbeat counter; only the instance itself increments it.
  std::uint64_t m_heartbeat = 0;
  /// True if the instance has announced that it is shutting down.
  bool m_is_leaving = false;

  friend bool operator==(const PeerEntry&, const PeerEntry&) = default;
};

/// Complete published state as known to one instance.
struct PublishedSnapshot {
  /// Store revision up to which the snapshot is complete.
  std::uint64_t m_revision = 0;
  RoutingConfig m_config;
  std::vector<ReplicaRecord> m_replicas;
  /// Replicas of `m_replicas` whose records have been missing from the store
  /// since an outage.
  std::vector<UpstreamId> m_missing_replicas;

  friend bool operator==(const PublishedSnapshot&,
                         const PublishedSnapshot&) = default;
};

/// Request and reply of one exchange between two instances.
struct PeerMessage {
  /// Entry of the sender, followed by entries of other instances known to it.
  std::vector<PeerEntry> m_peers;
  /// Store revision known to the sender; 0 if none.
  std::uint64_t m_revision = 0;
  /// True if the sender cannot read the store and requests a snapshot of the
  /// published state.
  bool m_wants_snapshot = false;
  /// Present in the reply if it was requested and is newer than the state of
  /// the requester.
  std::optional<PublishedSnapshot> m_snapshot;

  friend bool operator==(const PeerMessage&, const PeerMessage&) = default;
};

/// Encodes a message for transmission.
[[nodiscard]] std::string EncodePeerMessage(const PeerMessage& message);

/// Decodes a message; returns nothing if `bytes` are malformed or of another
/// format version.
[[nodiscard]] std::optional<PeerMessage> DecodePeerMessage(
    std::string_view bytes);

}  // namespace jackdawrack
