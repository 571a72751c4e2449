#pragma once

#include <string>
#include <vector>

namespace jackdawrack {

/// The text with the characters that HTML gives a meaning escaped.
[[nodiscard]] std::string EscapeHtml(const std::string& text);

/// An SVG line plot of one value a sample, with its greatest value named.
[[nodiscard]] std::string LinePlot(const std::string& title,
                                   const std::vector<double>& values);

}  // namespace jackdawrack
