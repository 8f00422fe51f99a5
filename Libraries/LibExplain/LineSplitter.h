#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace radishcross::explain {

/// Cuts the bytes of a file into lines, however they come. A line above the
/// bound is given as its start, so that no file takes endless memory.
class LineSplitter {
public:
  /// More than any line of a node has.
  static constexpr size_t MaxLineBytes = 64UL << 10;

  using Sink = std::function<void(std::string_view)>;
  explicit LineSplitter(Sink sink) : OnLine(std::move(sink)) {}

  void add(std::string_view bytes);

  /// Gives on what has no line end.
  void end();

private:
  void appendBounded(std::string_view bytes);

  Sink OnLine;
  std::string Line;
};

} // namespace radishcross::explain
