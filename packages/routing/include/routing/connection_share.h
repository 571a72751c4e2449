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

/// What an upstream allows all instances together.
struct ConnectionBounds {
  /// Connections that it accepts.
  std::uint32_t m_limit = 1;
  /// Requests that it runs at once.
  std::uint32_t m_slots = 1;
};

/// Connections to an upstream that one instance may hold, 1 at least. Those in
/// the upstream's failure domain get the larger part, since calm traffic stays
/// there; the others' part is for hedges and faults. Requests beyond the slots
/// would only wait at the upstream, so that no instance gets many more.
[[nodiscard]] std::size_t ConnectionShare(const ConnectionBounds& bounds,
                                          const FleetSize& fleet,
                                          bool is_home);

}  // namespace jackdawrack
