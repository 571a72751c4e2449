#pragma once

#include <cstddef>
#include <vector>

#include "exchange/peer_message.h"

namespace jackdawrack {

/// Number of instances of a failure domain that read the store for the others.
inline constexpr std::size_t kStoreReaderCount = 2;

/// Number of instances of a failure domain from which on only some of them read
/// the store. In a smaller one every instance reads it.
inline constexpr std::size_t kMinInstancesForStoreReaders = 5;

/// Chooses the store readers among the instances of one failure domain by
/// rendezvous hash of their ids, so that instances with the same membership
/// choose the same readers, and the loss of one moves only its own role.
/// Leaving instances are not chosen. Returns no more than `kStoreReaderCount`.
[[nodiscard]] std::vector<PeerEntry> ChooseStoreReaders(
    const std::vector<PeerEntry>& instances);

/// Sorts `readers` into the order in which the instance `follower` asks them;
/// the order differs between followers, so that they are spread over readers.
void SortReadersFor(const InstanceId& follower,
                    std::vector<PeerEntry>& readers);

}  // namespace jackdawrack
