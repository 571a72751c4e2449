#include "tool/text_table.h"

#include <fmt/format.h>

#include <algorithm>

#include "core/check.h"

namespace jackdawrack {
namespace {

constexpr const char* kGap = "  ";

}  // namespace

TextTable::TextTable(std::vector<std::string> heading) {
  m_rows.push_back(std::move(heading));
}

void TextTable::AddRow(std::vector<std::string> cells) {
  JR_CHECK(cells.size() == m_rows.front().size());
  m_rows.push_back(std::move(cells));
}

std::string TextTable::ToText() const {
  // Find the widths
  std::vector<std::size_t> widths(m_rows.front().size(), 0);
  for (const auto& row : m_rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }

  // Write the rows; the last cell is not padded
  std::string text;
  for (const auto& row : m_rows) {
    for (std::size_t i = 0; i + 1 < row.size(); ++i) {
      text += fmt::format("{:<{}}{}", row[i], widths[i], kGap);
    }
    text += row.back() + "\n";
  }
  return text;
}

}  // namespace jackdawrack
