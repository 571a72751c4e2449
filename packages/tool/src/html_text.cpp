#include "html_text.h"

#include <fmt/format.h>

#include <algorithm>

namespace jackdawrack {
namespace {

constexpr double kPlotWidth = 560;
constexpr double kPlotHeight = 120;
constexpr double kMargin = 30;

/// Least greatest value of an axis, so that small values look small.
constexpr double kLeastTop = 1;

}  // namespace

std::string EscapeHtml(const std::string& text) {
  std::string escaped;
  for (const char letter : text) {
    switch (letter) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += letter;
    }
  }
  return escaped;
}

std::string LinePlot(const std::string& title,
                     const std::vector<double>& values) {
  double top = kLeastTop;
  for (const double value : values) {
    top = std::max(top, value);
  }

  // Place the points from left to right
  std::string points;
  const double step = values.size() > 1
                          ? kPlotWidth / static_cast<double>(values.size() - 1)
                          : 0;
  for (std::size_t i = 0; i < values.size(); ++i) {
    points +=
        fmt::format("{:.1f},{:.1f} ", kMargin + step * static_cast<double>(i),
                    kMargin + kPlotHeight * (1 - values[i] / top));
  }
  const double one = kMargin + kPlotHeight * (1 - 1 / top);
  return fmt::format(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{0}\" height=\"{1}\" "
      "role=\"img\"><text x=\"{2}\" y=\"18\">{3} (top {4:.2f})</text>"
      "<rect x=\"{2}\" y=\"{2}\" width=\"{5}\" height=\"{6}\" fill=\"none\" "
      "stroke=\"#999\"/><line x1=\"{2}\" y1=\"{7:.1f}\" x2=\"{8}\" "
      "y2=\"{7:.1f}\" stroke=\"#c33\" stroke-dasharray=\"4\"/>"
      "<polyline points=\"{9}\" fill=\"none\" stroke=\"#06c\" "
      "stroke-width=\"2\"/></svg>\n",
      kPlotWidth + 2 * kMargin, kPlotHeight + 2 * kMargin, kMargin,
      EscapeHtml(title), top, kPlotWidth, kPlotHeight, one,
      kMargin + kPlotWidth, points);
}

}  // namespace jackdawrack
