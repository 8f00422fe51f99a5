#include <LibAdmin/NearestName.h>

#include <algorithm>

namespace radishcross::admin {

namespace {

/// Returns the optimal string alignment distance of two short strings.
size_t distanceOf(std::string_view a, std::string_view b) {
  std::vector<std::vector<size_t>> cells(a.size() + 1,
                                         std::vector<size_t>(b.size() + 1));
  for (size_t i = 0; i <= a.size(); ++i)
    cells[i][0] = i;
  for (size_t j = 0; j <= b.size(); ++j)
    cells[0][j] = j;
  for (size_t i = 1; i <= a.size(); ++i) {
    for (size_t j = 1; j <= b.size(); ++j) {
      size_t replaced = cells[i - 1][j - 1] + (a[i - 1] == b[j - 1] ? 0 : 1);
      size_t shorter = std::min(cells[i - 1][j], cells[i][j - 1]) + 1;
      cells[i][j] = std::min(replaced, shorter);
      bool isSwapped =
          i > 1 && j > 1 && a[i - 1] == b[j - 2] && a[i - 2] == b[j - 1];
      if (isSwapped)
        cells[i][j] = std::min(cells[i][j], cells[i - 2][j - 2] + 1);
    }
  }
  return cells[a.size()][b.size()];
}

} // namespace

std::string nearestName(std::string_view text,
                        const std::vector<std::string> &names) {
  // Accepts one edit per three characters, but at least one.
  size_t best = std::max<size_t>(1, text.size() / 3) + 1;
  std::string found;
  for (const auto &it : names) {
    size_t distance = distanceOf(text, it);
    if (distance >= best)
      continue;
    best = distance;
    found = it;
  }
  return found;
}

} // namespace radishcross::admin
