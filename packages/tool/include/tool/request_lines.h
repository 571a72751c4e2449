#pragma once

#include <string>
#include <vector>

namespace jackdawrack {

/// The log lines that speak of one request, from all files, in order of time.
[[nodiscard]] std::vector<std::string> FindRequestLines(
    const std::vector<std::string>& paths,
    const std::string& request);

}  // namespace jackdawrack
