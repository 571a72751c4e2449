#pragma once

#include <cstddef>
#include <cstdint>

namespace jackdawrack {

/// How many instances share the connections of an upstream.
struct FleetSize {
  /// Instances in the upstream's failure domain, 1 at least.
  std::size_t m_home = 1;
  /// Instances elsewhere.
  std::size_t m_remote = 0;

  [[nodiscard]] std::size_t Total() const { return m_home + m_remote; }

  friend bool operator==(const FleetSize&, const FleetSize&) = default;
};

/// Connections to an upstream that one instance may hold, 1 at least. Those in
/// the upstream's failure domain get the larger part, since calm traffic stays
/// there; the others' part is for hedges and faults.
[[nodiscard]] std::size_t ConnectionShare(std::uint32_t connection_limit,
                                          const FleetSize& fleet,
                                          bool is_home);

}  // namespace jackdawrack
