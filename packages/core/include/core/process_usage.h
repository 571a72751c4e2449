#pragma once

#include <cstdint>

namespace jackdawrack {

/// What this process has used of its machine.
struct ProcessUsage {
  /// Processor time since the start, in and for the process.
  double m_processor_seconds = 0;
  /// Most memory that was resident at a time.
  std::uint64_t m_peak_bytes = 0;

  /// Reads the kernel's account; zeros, which it never gives, if it has none.
  [[nodiscard]] static ProcessUsage Now();
};

}  // namespace jackdawrack
