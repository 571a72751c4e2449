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

/// The record of an upstream was removed.
struct ReplicaRemoval {
  UpstreamId m_id;

  friend bool operator==(const ReplicaRemoval&,
                         const ReplicaRemoval&) = default;
};

/// The record of an upstream is missing since an outage of the store; it is
/// dropped unless the upstream reports again.
struct ReplicaLapse {
  UpstreamId m_id;

  friend bool operator==(const ReplicaLapse&, const ReplicaLapse&) = default;
};

/// A value that is no configuration and no upstream's record.
struct UnreadableValue {
  std::string m_key;
  std::string m_reason;

  friend bool operator==(const UnreadableValue&,
                         const UnreadableValue&) = default;
};

/// One change of what is published.
using PublishedChange = std::variant<RoutingConfig,
                                     ReplicaRecord,
                                     ReplicaRemoval,
                                     ReplicaLapse,
                                     UnreadableValue>;

/// Changes, and the revision up to which they are complete.
struct PublishedChanges {
  std::vector<PublishedChange> m_changes;
  std::uint64_t m_revision = 0;
};

/// What went wrong at the store.
enum class StoreErrc {
  kUnreachable,
  /// It answered that it does not serve the call now.
  kRefused,
  /// The history after the revision asked for is gone; list again.
  kHistoryGone,
  kMalformedReply,
};

template <typename T>
using StoreResult = Result<T, StoreErrc>;

}  // namespace jackdawrack
