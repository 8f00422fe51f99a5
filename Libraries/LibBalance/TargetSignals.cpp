#include <LibBalance/TargetSignals.h>

namespace radishcross::balance {

namespace {

constexpr int64_t HasRateLimit = 1;
constexpr int64_t HasMalformedLimit = 2;
constexpr int64_t HasLeaving = 4;

} // namespace

int64_t flagsOf(const TargetSignals &signals) {
  return (signals.RateLimit ? HasRateLimit : 0) +
         (signals.IsLimitMalformed ? HasMalformedLimit : 0) +
         (signals.IsLeaving ? HasLeaving : 0);
}

TargetSignals signalsOf(int64_t flags, MilliRate rate) {
  TargetSignals out;
  if ((flags & HasRateLimit) != 0)
    out.RateLimit = rate;
  out.IsLimitMalformed = (flags & HasMalformedLimit) != 0;
  out.IsLeaving = (flags & HasLeaving) != 0;
  return out;
}

} // namespace radishcross::balance
