#pragma once

#include <string>
#include <vector>

namespace radishcross::admin {

/// A plain-text table with left-aligned columns, two spaces apart.
class TextTable {
public:
  explicit TextTable(std::vector<std::string> headers) {
    Rows.push_back(std::move(headers));
  }

  void add(std::vector<std::string> cells) { Rows.push_back(std::move(cells)); }

  /// Returns all rows, each ending in a line break. Control characters in cells
  /// are replaced by '?', so that a value cannot send terminal escapes.
  std::string text() const;

private:
  std::vector<std::vector<std::string>> Rows;
};

} // namespace radishcross::admin
