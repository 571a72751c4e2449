#include "policy/spread_plan.h"

#include <algorithm>

#include "core/hash.h"

namespace jackdawrack {
namespace {

/// An instance with its rendezvous weight.
struct Weighed {
  std::uint64_t m_weight = 0;
  const Instance* m_instance = nullptr;
};

// Orders the instances by descending rendezvous weight for `seed`.
std::vector<Weighed> OrderBy(std::uint64_t seed,
                             const std::vector<Instance>& instances) {
  std::vector<Weighed> order;
  order.reserve(instances.size());
  for (const Instance& instance : instances) {
    order.push_back(
        Weighed{MixHash(seed, Hash64(instance.m_id.Text())), &instance});
  }
  std::sort(order.begin(), order.end(), [](const Weighed& a, const Weighed& b) {
    return a.m_weight > b.m_weight;
  });
  return order;
}

// Index of the instance in the order, or the order's size if it is missing.
std::size_t PlaceOf(const std::vector<Weighed>& order, const InstanceId& id) {
  const auto found = std::find_if(
      order.begin(), order.end(),
      [&](const Weighed& weighed) { return weighed.m_instance->m_id == id; });
  return static_cast<std::size_t>(found - order.begin());
}

}  // namespace

std::size_t WatcherRank(const std::vector<Instance>& live,
                        const InstanceId& instance) {
  static const std::uint64_t kSeed = Hash64("watcher");
  return PlaceOf(OrderBy(kSeed, live), instance);
}

std::vector<Instance> PushTargets(const std::vector<Instance>& live,
                                  const InstanceId& root,
                                  const InstanceId& self) {
  std::vector<Weighed> order = OrderBy(Hash64(root.Text()), live);
  std::erase_if(order, [&](const Weighed& weighed) {
    return weighed.m_instance->m_id == root;
  });

  // The order holds the tree level by level: first the children of the root,
  // then those of its first child, and so on
  std::size_t first = 0;
  if (self != root) {
    const std::size_t place = PlaceOf(order, self);
    if (place == order.size()) {
      return {};
    }
    first = (place + 1) * kPushFanOut;
  }
  std::vector<Instance> targets;
  for (std::size_t i = first; i < order.size() && i < first + kPushFanOut;
       ++i) {
    targets.push_back(*order[i].m_instance);
  }
  return targets;
}

}  // namespace jackdawrack
