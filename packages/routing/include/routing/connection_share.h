#pragma once

#include <cstddef>
#include <cstdint>

namespace jackdawrack {

/// Number of instances that share the connections of an upstream.
struct FleetSize {
  /// Instances in the upstream's failure domain; at least 1.
  std::size_t m_local = 1;
  /// Instances in other failure domains.
  std::size_t m_remote = 0;

  [[nodiscard]] std::size_t Total() const { return m_local + m_remote; }

  friend bool operator==(const FleetSize&, const FleetSize&) = default;
};

/// Limits of an upstream, shared by all instances.
struct UpstreamLimits {
  /// Maximum number of connections that it accepts.
  std::uint32_t m_max_connections = 1;
  /// Number of requests that it runs concurrently.
  std::uint32_t m_slots = 1;
};

/// Returns the number of connections that one instance may hold to an upstream;
/// at least 1. `is_local` is true if the instance is in the upstream's failure
/// domain.
///
/// Instances in the upstream's failure domain keep their connections open,
/// since normal traffic stays within the domain; the share of other instances
/// serves hedges and failover. No instance gets many more connections than the
/// upstream has slots, because additional requests would only queue at the
/// upstream.
[[nodiscard]] std::size_t ConnectionShare(const UpstreamLimits& limits,
                                          const FleetSize& fleet,
                                          bool is_local);

}  // namespace jackdawrack
