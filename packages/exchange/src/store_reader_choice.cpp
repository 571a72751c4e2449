#include "exchange/store_reader_choice.h"

#include <algorithm>

#include "core/hash.h"

namespace jackdawrack {
namespace {

/// Separates this use of the hash from others.
constexpr std::uint64_t kReaderSeed = 0x73746f7265;

// Sorts by descending rendezvous weight; ids break ties.
void SortByWeight(std::uint64_t seed, std::vector<PeerEntry>& instances) {
  std::sort(instances.begin(), instances.end(),
            [seed](const PeerEntry& a, const PeerEntry& b) {
              const std::uint64_t weight_a = Hash64(a.m_id.Text(), seed);
              const std::uint64_t weight_b = Hash64(b.m_id.Text(), seed);
              return weight_a != weight_b ? weight_a > weight_b
                                          : a.m_id < b.m_id;
            });
}

}  // namespace

std::vector<PeerEntry> ChooseStoreReaders(
    const std::vector<PeerEntry>& instances) {
  std::vector<PeerEntry> readers;
  std::copy_if(instances.begin(), instances.end(), std::back_inserter(readers),
               [](const PeerEntry& entry) { return !entry.m_is_leaving; });
  SortByWeight(kReaderSeed, readers);
  if (readers.size() > kStoreReaderCount) {
    readers.resize(kStoreReaderCount);
  }
  return readers;
}

void SortReadersFor(const InstanceId& follower,
                    std::vector<PeerEntry>& readers) {
  SortByWeight(Hash64(follower.Text()), readers);
}

}  // namespace jackdawrack
