#include <LibCalls/CrashDetector.h>

#include <utility>

namespace radishcross::calls {

std::vector<uint64_t> CrashEvidence::broken(std::vector<uint64_t> running,
                                            Ticket last, base::TimePoint now) {
  if (Crashed)
    return {};
  // Calls that run later break on connections that were lost before.
  if (!Broken || now - Broken->At >= SameEvent) {
    Broken = Break{std::move(running), now};
    Last = last;
  }
  const bool gone = UnreachableAt && now - *UnreachableAt < SameEvent;
  return gone ? accuse(now) : std::vector<uint64_t>();
}

std::vector<uint64_t> CrashEvidence::unreachable(Ticket last,
                                                 base::TimePoint now) {
  UnreachableAt = now;
  if (!Broken)
    Last = last;
  return accuse(now);
}

std::vector<uint64_t> CrashEvidence::processGone(base::TimePoint now) {
  return accuse(now);
}

std::vector<uint64_t> CrashEvidence::accuse(base::TimePoint now) {
  if (!Broken || Crashed)
    return {};
  auto out = std::move(Broken->Running);
  const bool known = now - Broken->At < Lifetime;
  Broken.reset();
  Crashed = known;
  return known ? out : std::vector<uint64_t>();
}

void CrashEvidence::answered(Ticket call) {
  if (call > Last)
    begunAnew();
}

} // namespace radishcross::calls
