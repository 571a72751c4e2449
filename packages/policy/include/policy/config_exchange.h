#pragma once

#include <vector>

#include "policy/config_store.h"
#include "policy/control_message.h"

namespace jackdawrack {

/// Greatest sum of texts that one control message carries, in bytes.
inline constexpr std::size_t kMaxMessageValueBytes = 1 << 20;

/// Fills in the hashes of all groups, for a peer whose root hash differs.
void AddBuckets(const ConfigStore& store, ControlMessage& message);

/// A comparison of the groups in which the store and a peer differ. `theirs`
/// has to be `kDigestBuckets` long.
[[nodiscard]] ControlMessage MakeComparison(
    const ConfigStore& store,
    const std::vector<std::uint32_t>& theirs);

/// Answers a comparison: values of greater rank here, names of lesser rank.
void AnswerComparison(const ConfigStore& store,
                      const ControlMessage& comparison,
                      ControlMessage& reply);

/// Adds the values of these names until the message is full.
void AddValues(const ConfigStore& store,
               const std::vector<std::string>& names,
               ControlMessage& message);

/// Splits values into messages' worth; a value above the limit stands alone.
[[nodiscard]] std::vector<std::vector<PublishedValue>> SplitValues(
    const std::vector<PublishedValue>& values);

}  // namespace jackdawrack
