#include <LibAdmin/TextTable.h>

#include <algorithm>

namespace radishcross::admin {

namespace {

constexpr size_t ColumnGap = 2;

std::string printable(const std::string &text) {
  std::string out = text;
  for (char &c : out)
    if (static_cast<unsigned char>(c) < ' ' || c == '\x7f')
      c = '?';
  return out;
}

} // namespace

std::string TextTable::text() const {
  std::vector<size_t> widths;
  for (const auto &row : Rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (size_t i = 0; i < row.size(); ++i)
      widths[i] = std::max(widths[i], row[i].size());
  }
  std::string out;
  for (const auto &row : Rows) {
    std::string line;
    for (size_t i = 0; i < row.size(); ++i) {
      line += printable(row[i]);
      line += std::string(widths[i] - row[i].size() + ColumnGap, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    out += line + "\n";
  }
  return out;
}

} // namespace radishcross::admin
