#pragma once

#include <string>

#include "core/clock.h"

namespace jackdawrack {

/// What a soak does.
struct SoakSettings {
  std::uint64_t m_seed = 1;
  /// Time in which troubles begin.
  Milliseconds m_length{60'000};
  std::size_t m_instances = 8;
  std::size_t m_callers = 40;
  /// Folder of the programs; that of the build if empty.
  std::string m_bin_folder;
};

/// What a soak found.
struct SoakReport {
  /// Broken promises; empty if none.
  std::size_t m_faults = 0;
  /// The seed, the counts and, if there are faults, these with the troubles and
  /// the last log lines of instances that ended by themselves.
  std::string m_text;
};

/// Runs instances under callers and troubles that are drawn from the seed, and
/// checks that no process ends by itself, no request stays without an answer,
/// nothing runs more often than it may, and answers are right.
[[nodiscard]] SoakReport RunSoak(const SoakSettings& settings);

}  // namespace jackdawrack
