#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace radishcross::explain {

/// Splits the bytes of a file, read in pieces of any size, into lines. A longer
/// line is truncated to MaxLineBytes, so memory is bounded for any file.
class LineSplitter {
public:
  /// Longer than any line that a node logs.
  static constexpr size_t MaxLineBytes = 64UL << 10;

  using Sink = std::function<void(std::string_view)>;
  explicit LineSplitter(Sink sink) : OnLine(std::move(sink)) {}

  void add(std::string_view bytes);

  /// Emits the last line if it has no line break.
  void end();

private:
  void appendBounded(std::string_view bytes);

  Sink OnLine;
  std::string Line;
};

} // namespace radishcross::explain
