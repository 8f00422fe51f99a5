#pragma once

#include <string>
#include <vector>

namespace radishcross::admin {

/// A table for people: columns aligned by spaces, two between them.
class TextTable {
public:
  explicit TextTable(std::vector<std::string> headers) {
    Rows.push_back(std::move(headers));
  }

  void add(std::vector<std::string> cells) { Rows.push_back(std::move(cells)); }

  /// Returns all rows, each with a line break; control characters in cells are
  /// replaced, so that a value cannot steer the terminal.
  std::string text() const;

private:
  std::vector<std::vector<std::string>> Rows;
};

} // namespace radishcross::admin
