#include <LibAdmission/CrashDetector.h>

#include <utility>

namespace radishcross::admission {

std::vector<uint64_t> CrashDetector::callBroken(std::vector<uint64_t> running,
                                                Ticket last,
                                                base::TimePoint now) {
  if (HasCrashed)
    return {};
  // Later calls break on connections that were lost in the same event.
  if (!Pending || now - Pending->At >= EventWindow) {
    Pending = BrokenCall{std::move(running), now};
    LastTicket = last;
  }
  const bool gone = UnreachableAt && now - *UnreachableAt < EventWindow;
  return gone ? confirmCrash(now) : std::vector<uint64_t>();
}

std::vector<uint64_t> CrashDetector::unreachable(Ticket last,
                                                 base::TimePoint now) {
  UnreachableAt = now;
  if (!Pending)
    LastTicket = last;
  return confirmCrash(now);
}

std::vector<uint64_t> CrashDetector::processGone(base::TimePoint now) {
  return confirmCrash(now);
}

std::vector<uint64_t> CrashDetector::confirmCrash(base::TimePoint now) {
  if (!Pending || HasCrashed)
    return {};
  auto out = std::move(Pending->Running);
  const bool known = now - Pending->At < Lifetime;
  Pending.reset();
  HasCrashed = known;
  return known ? out : std::vector<uint64_t>();
}

void CrashDetector::answered(Ticket call) {
  if (call > LastTicket)
    reset();
}

} // namespace radishcross::admission
