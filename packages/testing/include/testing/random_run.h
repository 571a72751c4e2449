#pragma once

#include <string>
#include <vector>

#include "core/clock.h"

namespace jackdawrack {

/// What a randomised run does.
struct RandomRunSettings {
  std::uint64_t m_seed = 1;
  /// The run begins no further step after this time.
  Milliseconds m_length{60'000};
  /// Steps after which it ends, whatever the time; 0 for no bound.
  std::uint64_t m_max_steps = 0;
  /// Begins with pairs of faults instead of each alone.
  bool m_only_pairs = false;
  /// Folder of the programs; that of the build if empty.
  std::string m_bin_folder;
  /// Names of faults that are not drawn.
  std::vector<std::string> m_without;
};

/// Runs a fleet of real processes under steady callers and faults drawn from
/// the seed, prints the schedule, and returns the first broken promise, or an
/// empty text.
[[nodiscard]] std::string RunRandomly(const RandomRunSettings& settings);

}  // namespace jackdawrack
