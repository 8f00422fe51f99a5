#include <LibHttp/LinkPacer.h>

#include <algorithm>

namespace radishcross::http {

namespace {

constexpr uint64_t MicrosecondsPerSecond = 1'000'000;
/// Bytes on the link for each 100 of an answer: headers of its packets.
constexpr uint64_t OnLinkPercent = 105;
constexpr int64_t FullPermille = 1000;

} // namespace

base::Duration LinkPacer::timeFor(size_t bytes) const {
  return base::Duration(static_cast<int64_t>(bytes * OnLinkPercent / 100 *
                                             MicrosecondsPerSecond / Rate));
}

base::Duration LinkPacer::reserve(size_t bytes, base::TimePoint now) {
  const auto wait = std::max(FreeAt - now - Allowance, base::Duration::zero());
  FreeAt = std::max(FreeAt, now) + timeFor(bytes);
  return wait;
}

base::Duration LinkPacer::backlog(base::TimePoint now) const {
  return std::max(FreeAt - now, base::Duration::zero()) + timeFor(QueuedBytes);
}

uint32_t LinkPacer::pressurePermille(base::TimePoint now) const {
  return static_cast<uint32_t>(std::min(
      backlog(now).count() * FullPermille / FullBacklog.count(), FullPermille));
}

} // namespace radishcross::http
