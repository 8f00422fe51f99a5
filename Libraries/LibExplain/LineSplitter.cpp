#include <LibExplain/LineSplitter.h>

#include <algorithm>

namespace radishcross::explain {

void LineSplitter::appendBounded(std::string_view bytes) {
  Line.append(
      bytes.substr(0, std::min(bytes.size(), MaxLineBytes - Line.size())));
}

void LineSplitter::add(std::string_view bytes) {
  while (true) {
    size_t end = bytes.find('\n');
    appendBounded(bytes.substr(0, end));
    if (end == std::string_view::npos)
      return;
    OnLine(Line);
    Line.clear();
    bytes.remove_prefix(end + 1);
  }
}

void LineSplitter::end() {
  if (!Line.empty())
    OnLine(Line);
  Line.clear();
}

} // namespace radishcross::explain
