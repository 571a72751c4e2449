#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/error.h"
#include "model/ids.h"
#include "routing/replica_record.h"
#include "routing/routing_config.h"

namespace jackdawrack {

/// The record of an upstream was removed from the store.
struct ReplicaRemoval {
  UpstreamId m_id;

  friend bool operator==(const ReplicaRemoval&,
                         const ReplicaRemoval&) = default;
};

/// The record of an upstream has been missing since a store outage; it is
/// dropped unless the upstream republishes it.
struct MissingReplica {
  UpstreamId m_id;

  friend bool operator==(const MissingReplica&,
                         const MissingReplica&) = default;
};

/// A stored value that could not be decoded as a configuration or a replica
/// record.
struct UnreadableValue {
  std::string m_key;
  std::string m_reason;

  friend bool operator==(const UnreadableValue&,
                         const UnreadableValue&) = default;
};

/// One change to the published state.
using PublishedChange = std::variant<RoutingConfig,
                                     ReplicaRecord,
                                     ReplicaRemoval,
                                     MissingReplica,
                                     UnreadableValue>;

/// Changes, and the store revision up to which they are complete.
struct PublishedChanges {
  std::vector<PublishedChange> m_changes;
  std::uint64_t m_revision = 0;
};

/// Errors of calls to the store.
enum class StoreErrc {
  /// No reply was received.
  kUnreachable,
  /// The store declined to serve the call.
  kRefused,
  /// The history after the requested revision was compacted; a new listing is
  /// needed.
  kHistoryGone,
  /// The reply could not be decoded.
  kMalformedReply,
  /// The reply was longer than the client accepts; a new listing, which is read
  /// in pages, is needed.
  kReplyTooLarge,
};

template <typename T>
using StoreResult = Result<T, StoreErrc>;

}  // namespace jackdawrack
