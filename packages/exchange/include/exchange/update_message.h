#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "exchange/peer_message.h"
#include "routing/published_change.h"

namespace jackdawrack {

/// Asks a peer for the published changes after a revision.
struct UpdateRequest {
  /// Number chosen by the requester and repeated in the reply, which tells the
  /// reply from one to an earlier request on the same connection.
  std::uint64_t m_serial = 0;
  InstanceId m_sender;
  /// Revision known to the sender; 0 if none.
  std::uint64_t m_revision = 0;
  /// Time to wait for a change before an empty reply.
  Milliseconds m_wait{0};

  friend bool operator==(const UpdateRequest&, const UpdateRequest&) = default;
};

/// Reply to an `UpdateRequest`.
struct UpdateReply {
  std::uint64_t m_serial = 0;
  /// Revision of the replying instance.
  std::uint64_t m_revision = 0;
  /// Time since the store confirmed this revision.
  Milliseconds m_view_age{0};
  /// The store readers known to the replying instance.
  std::vector<PeerEntry> m_readers;
  /// Present if the changes after the requested revision are no longer known.
  std::optional<PublishedSnapshot> m_snapshot;
  /// The changes after the requested revision, in order.
  std::vector<PublishedChange> m_changes;

  friend bool operator==(const UpdateReply&, const UpdateReply&) = default;
};

/// Encode a message for transmission.
[[nodiscard]] std::string EncodeUpdateRequest(const UpdateRequest& request);
[[nodiscard]] std::string EncodeUpdateReply(const UpdateReply& reply);

/// Decode a message; return nothing if `bytes` are malformed or of another
/// format version.
[[nodiscard]] std::optional<UpdateRequest> DecodeUpdateRequest(
    std::string_view bytes);
[[nodiscard]] std::optional<UpdateReply> DecodeUpdateReply(
    std::string_view bytes);

}  // namespace jackdawrack
