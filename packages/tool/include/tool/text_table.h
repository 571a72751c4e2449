#pragma once

#include <string>
#include <vector>

namespace jackdawrack {

/// A table of text whose columns are as wide as their widest cell.
class TextTable final {
 public:
  explicit TextTable(std::vector<std::string> heading);

  /// Adds a row; it has to have as many cells as the heading.
  void AddRow(std::vector<std::string> cells);

  /// The heading and the rows, one a line.
  [[nodiscard]] std::string ToText() const;

 private:
  std::vector<std::vector<std::string>> m_rows;
};

}  // namespace jackdawrack
