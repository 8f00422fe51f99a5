#include <LibExplain/LineSplitter.h>

#include <algorithm>

namespace radishcross::explain {

void LineSplitter::keep(std::string_view bytes) {
  Line.append(
      bytes.substr(0, std::min(bytes.size(), MostLineBytes - Line.size())));
}

void LineSplitter::add(std::string_view bytes) {
  while (true) {
    size_t end = bytes.find('\n');
    keep(bytes.substr(0, end));
    if (end == std::string_view::npos)
      return;
    Take(Line);
    Line.clear();
    bytes.remove_prefix(end + 1);
  }
}

void LineSplitter::end() {
  if (!Line.empty())
    Take(Line);
  Line.clear();
}

} // namespace radishcross::explain
