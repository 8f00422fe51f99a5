#include <LibBase/LogWriter.h>

#include <cerrno>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace radishcross::base {

bool LogWriter::add(std::string_view line) {
  if (Descriptor < 0)
    return true;
  if (bufferedBytes() + line.size() + 1 > Capacity)
    flush();
  if (bufferedBytes() + line.size() + 1 > Capacity)
    return false;
  Buffer.append(line);
  Buffer += '\n';
  return true;
}

/// A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
bool LogWriter::isWritable() const {
  pollfd state{Descriptor, POLLOUT, 0};
  return ::poll(&state, 1, 0) == 1 &&
         (state.revents & (POLLOUT | POLLERR | POLLHUP)) != 0;
}

/// Returns whole lines of at most PIPE_BUF bytes in total, or the first
/// PIPE_BUF bytes of a longer line.
std::string_view LogWriter::nextChunk() const {
  std::string_view chunk(Buffer.data() + WrittenBytes, bufferedBytes());
  if (chunk.size() <= PIPE_BUF)
    return chunk;
  chunk = chunk.substr(0, PIPE_BUF);
  size_t end = chunk.rfind('\n');
  return end == std::string_view::npos ? chunk : chunk.substr(0, end + 1);
}

void LogWriter::flush() {
  while (bufferedBytes() > 0 && isWritable()) {
    auto chunk = nextChunk();
    ssize_t n = ::write(Descriptor, chunk.data(), chunk.size());
    if (n > 0) {
      WrittenBytes += static_cast<size_t>(n);
      continue;
    }
    if (n < 0 && (errno == EAGAIN || errno == EINTR))
      break;
    // Nobody will read the rest (for example EPIPE): discard it.
    WrittenBytes = Buffer.size();
  }
  if (bufferedBytes() > 0 && WrittenBytes < Buffer.size() / 2)
    return;
  Buffer.erase(0, WrittenBytes);
  WrittenBytes = 0;
}

} // namespace radishcross::base
