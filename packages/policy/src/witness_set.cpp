#include "policy/witness_set.h"

#include <algorithm>
#include <cstdint>

#include "core/hash.h"

namespace jackdawrack {
namespace {

constexpr std::uint64_t kWitnessSeed = 1;
constexpr std::uint64_t kHolderSeed = 2;

struct WeightedInstance {
  std::uint64_t m_weight = 0;
  InstanceId m_instance;

  friend auto operator<=>(const WeightedInstance&,
                          const WeightedInstance&) = default;
};

// Sorts by rendezvous hash, highest first.
std::vector<InstanceId> RankInstances(
    std::uint64_t seed,
    KeySlot slot,
    const std::vector<InstanceId>& instances) {
  std::vector<WeightedInstance> ranked;
  ranked.reserve(instances.size());
  for (const InstanceId& instance : instances) {
    ranked.push_back(WeightedInstance{
        MixHash(MixHash(seed, slot), Hash64(instance.Text())), instance});
  }
  std::sort(ranked.rbegin(), ranked.rend());

  std::vector<InstanceId> ids;
  ids.reserve(ranked.size());
  for (WeightedInstance& entry : ranked) {
    ids.push_back(std::move(entry.m_instance));
  }
  return ids;
}

}  // namespace

std::vector<InstanceId> WitnessesOf(KeySlot slot,
                                    const std::vector<InstanceId>& listed) {
  if (listed.size() <= kMaxWitnesses) {
    return listed;
  }
  std::vector<InstanceId> witnesses = RankInstances(kWitnessSeed, slot, listed);
  witnesses.resize(kMaxWitnesses);
  return witnesses;
}

std::vector<InstanceId> HolderOrder(KeySlot slot,
                                    const std::vector<InstanceId>& live) {
  return RankInstances(kHolderSeed, slot, live);
}

}  // namespace jackdawrack
