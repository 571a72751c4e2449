#include "policy/push_topology.h"

#include <algorithm>

#include "core/hash.h"

namespace jackdawrack {
namespace {

/// An instance with its rendezvous weight.
struct WeightedInstance {
  std::uint64_t m_weight = 0;
  const Instance* m_instance = nullptr;
};

// Orders the instances by descending rendezvous weight for `seed`.
std::vector<WeightedInstance> OrderByWeight(
    std::uint64_t seed,
    const std::vector<Instance>& instances) {
  std::vector<WeightedInstance> order;
  order.reserve(instances.size());
  for (const Instance& instance : instances) {
    order.push_back(WeightedInstance{
        MixHash(seed, Hash64(instance.m_id.Text())), &instance});
  }
  std::sort(order.begin(), order.end(),
            [](const WeightedInstance& a, const WeightedInstance& b) {
              return a.m_weight > b.m_weight;
            });
  return order;
}

// Index of the instance in the order, or the order's size if it is missing.
std::size_t PositionOf(const std::vector<WeightedInstance>& order,
                       const InstanceId& id) {
  const auto found = std::find_if(order.begin(), order.end(),
                                  [&](const WeightedInstance& entry) {
                                    return entry.m_instance->m_id == id;
                                  });
  return static_cast<std::size_t>(found - order.begin());
}

}  // namespace

std::size_t WatcherRank(const std::vector<Instance>& live,
                        const InstanceId& instance) {
  static const std::uint64_t kSeed = Hash64("watcher");
  return PositionOf(OrderByWeight(kSeed, live), instance);
}

std::vector<Instance> PushTreeChildren(const std::vector<Instance>& live,
                                       const InstanceId& root,
                                       const InstanceId& self) {
  std::vector<WeightedInstance> order =
      OrderByWeight(Hash64(root.Text()), live);
  std::erase_if(order, [&](const WeightedInstance& entry) {
    return entry.m_instance->m_id == root;
  });

  // The order lists the tree breadth-first: the children of the root come
  // first, then those of its first child, and so on
  std::size_t first = 0;
  if (self != root) {
    const std::size_t position = PositionOf(order, self);
    if (position == order.size()) {
      return {};
    }
    first = (position + 1) * kPushFanOut;
  }
  std::vector<Instance> children;
  for (std::size_t i = first; i < order.size() && i < first + kPushFanOut;
       ++i) {
    children.push_back(*order[i].m_instance);
  }
  return children;
}

}  // namespace jackdawrack
