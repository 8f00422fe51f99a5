#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace radishcross::base {

/// Writes lines to a descriptor and never waits for its reader: what the
/// descriptor cannot take now is kept, up to a bound. Not thread-safe. A pipe
/// whose reader has gone raises SIGPIPE unless the process ignores it.
class LogWriter {
public:
  /// \p descriptor is not closed; below 0 nothing is written. \p capacity is
  /// in bytes.
  LogWriter(int descriptor, size_t capacity)
      : Descriptor(descriptor), Capacity(capacity) {}

  /// Keeps \p line and a line end for the next flush; returns false, and keeps
  /// nothing of it, where there is no room.
  bool add(std::string_view line);

  /// Writes what the descriptor takes without waiting.
  void flush();

  /// Returns the bytes that are still kept.
  size_t bufferedBytes() const { return Buffer.size() - WrittenBytes; }

private:
  bool isWritable() const;
  std::string_view nextChunk() const;

  int Descriptor;
  size_t Capacity;
  std::string Buffer;
  size_t WrittenBytes = 0; ///< Of Bytes, from their start.
};

} // namespace radishcross::base
