#pragma once

#include <vector>

#include "policy/config_store.h"
#include "policy/control_message.h"

namespace jackdawrack {

/// Maximum total size of the value texts in one control message, in bytes.
inline constexpr std::size_t kMaxMessageValueBytes = 1 << 20;

/// Adds all bucket hashes to a reply to a peer whose root hash differs.
void AddBucketHashes(const ConfigStore& store, ControlMessage& message);

/// Makes a `kCompare` request with the digests of every bucket whose hash
/// differs from the peer's hash in `peer_hashes`, which must hold
/// `kDigestBuckets` hashes.
[[nodiscard]] ControlMessage MakeCompareRequest(
    const ConfigStore& store,
    const std::vector<std::uint32_t>& peer_hashes);

/// Adds to `reply` the values that rank higher in this store than in the
/// request, and the names of those that rank lower or are missing here.
void AnswerCompareRequest(const ConfigStore& store,
                          const ControlMessage& request,
                          ControlMessage& reply);

/// Adds the named values up to `kMaxMessageValueBytes` and sets `m_has_more` if
/// some do not fit. Unknown names are skipped.
void AddValues(const ConfigStore& store,
               const std::vector<std::string>& names,
               ControlMessage& message);

/// Splits values, in order, into batches of at most `kMaxMessageValueBytes`. A
/// larger value gets a batch of its own.
[[nodiscard]] std::vector<std::vector<PublishedValue>> SplitIntoBatches(
    const std::vector<PublishedValue>& values);

}  // namespace jackdawrack
