#include <LibBase/LogWriter.h>

#include <cerrno>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace radishcross::base {

bool LogWriter::add(std::string_view line) {
  if (Descriptor < 0)
    return true;
  if (kept() + line.size() + 1 > Capacity)
    flush();
  if (kept() + line.size() + 1 > Capacity)
    return false;
  Bytes.append(line);
  Bytes += '\n';
  return true;
}

/// A pipe that is ready takes PIPE_BUF bytes without waiting.
bool LogWriter::isWritable() const {
  pollfd state{Descriptor, POLLOUT, 0};
  return ::poll(&state, 1, 0) == 1 &&
         (state.revents & (POLLOUT | POLLERR | POLLHUP)) != 0;
}

/// Returns whole lines of at most PIPE_BUF bytes, or the start of a line that
/// is longer.
std::string_view LogWriter::nextPart() const {
  std::string_view part(Bytes.data() + Written, kept());
  if (part.size() <= PIPE_BUF)
    return part;
  part = part.substr(0, PIPE_BUF);
  size_t end = part.rfind('\n');
  return end == std::string_view::npos ? part : part.substr(0, end + 1);
}

void LogWriter::flush() {
  while (kept() > 0 && isWritable()) {
    auto part = nextPart();
    ssize_t n = ::write(Descriptor, part.data(), part.size());
    if (n > 0) {
      Written += static_cast<size_t>(n);
      continue;
    }
    if (n < 0 && (errno == EAGAIN || errno == EINTR))
      break;
    // Nobody will read it, as after EPIPE.
    Written = Bytes.size();
  }
  if (kept() > 0 && Written < Bytes.size() / 2)
    return;
  Bytes.erase(0, Written);
  Written = 0;
}

} // namespace radishcross::base
