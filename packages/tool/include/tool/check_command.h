#pragma once

#include <string>
#include <vector>

namespace jackdawrack {

/// Checks files of any kind that the product reads: settings, contracts, maps
/// and instance lists, told apart by their sections. Prints every problem and
/// returns how many there are.
[[nodiscard]] std::size_t RunCheck(const std::vector<std::string>& paths);

}  // namespace jackdawrack
