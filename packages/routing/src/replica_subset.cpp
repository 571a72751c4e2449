#include "routing/replica_subset.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "core/hash.h"

namespace jackdawrack {
namespace {

/// Fraction of a replica's connections that instances elsewhere may use when
/// every one of them keeps a connection.
constexpr double kRemoteFraction = 0.5;

}  // namespace

std::size_t RemoteSubsetSize(const UpstreamLimits& limits,
                             const FleetSize& fleet,
                             std::size_t replicas) {
  if (fleet.m_remote == 0 || replicas == 0) {
    return replicas;
  }
  const double fraction = kRemoteFraction * limits.m_max_connections /
                          static_cast<double>(fleet.m_remote);
  const double size = std::floor(fraction * static_cast<double>(replicas));
  return std::clamp<std::size_t>(static_cast<std::size_t>(size), 1, replicas);
}

std::vector<bool> ChooseReplicaSubset(const InstanceId& instance,
                                      std::span<const UpstreamId> replicas,
                                      std::size_t size) {
  std::vector<std::size_t> order(replicas.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  const std::uint64_t seed = Hash64(instance.Text());
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    const std::uint64_t weight_a = Hash64(replicas[a].Text(), seed);
    const std::uint64_t weight_b = Hash64(replicas[b].Text(), seed);
    return weight_a != weight_b ? weight_a > weight_b
                                : replicas[a] < replicas[b];
  });
  std::vector<bool> is_chosen(replicas.size());
  for (std::size_t rank = 0; rank < std::min(size, order.size()); ++rank) {
    is_chosen[order[rank]] = true;
  }
  return is_chosen;
}

}  // namespace jackdawrack
