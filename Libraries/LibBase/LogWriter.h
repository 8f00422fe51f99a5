#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace radishcross::base {

/// Writes lines to a file descriptor without blocking: what cannot be written
/// yet is buffered, up to a limit. Not thread-safe. A pipe whose reader has
/// closed raises SIGPIPE unless the process ignores the signal.
class LogWriter {
public:
  /// Does not take ownership of \p descriptor; a negative one discards all
  /// lines. \p capacity is the size of the buffer in bytes.
  LogWriter(int descriptor, size_t capacity)
      : Descriptor(descriptor), Capacity(capacity) {}

  /// Buffers \p line and a line break for the next flush. Returns false and
  /// drops the whole line when the buffer is full.
  bool add(std::string_view line);

  /// Writes as much as the descriptor accepts without blocking.
  void flush();

  /// Returns the number of buffered bytes.
  size_t bufferedBytes() const { return Buffer.size() - WrittenBytes; }

private:
  bool isWritable() const;
  std::string_view nextChunk() const;

  int Descriptor;
  size_t Capacity;
  std::string Buffer;
  size_t WrittenBytes = 0; ///< Length of the prefix of Buffer already written.
};

} // namespace radishcross::base
