#include <LibAdmission/RateLimiter.h>

#include <algorithm>

namespace radishcross::admission {

void RateLimiter::setRate(std::optional<balance::MilliRate> rate,
                          base::TimePoint now) {
  const int64_t level = levelAt(now);
  Rate = rate ? std::max(*rate, MinimumRate) : 0;
  Level = std::min(level, depth());
  UpdatedAt = now;
}

void RateLimiter::grant(base::TimePoint now) {
  Level = std::min(levelAt(now) + Token, depth());
  UpdatedAt = now;
}

int64_t RateLimiter::levelAt(base::TimePoint now) const {
  if (!isLimited())
    return 0;
  const int64_t missing = depth() - Level;
  const int64_t elapsed = (now - UpdatedAt).count();
  return elapsed > missing / Rate ? depth() : Level + elapsed * Rate;
}

bool RateLimiter::isAvailable(uint32_t reserved, base::TimePoint now) const {
  if (!isLimited())
    return true;
  const int64_t wanted = Token * (1 + int64_t{reserved});
  return levelAt(now) >= (wanted <= depth() ? wanted : Token);
}

void RateLimiter::take(base::TimePoint now) {
  if (!isLimited())
    return;
  Level = levelAt(now) - Token;
  UpdatedAt = now;
}

base::Duration RateLimiter::waitFor(size_t ahead, base::TimePoint now) const {
  if (!isLimited())
    return {};
  const int64_t wanted = Token * (1 + static_cast<int64_t>(ahead));
  const int64_t missing = wanted - levelAt(now);
  return missing <= 0 ? base::Duration{}
                      : base::Duration((missing + Rate - 1) / Rate);
}

uint32_t RateLimiter::usedPermille(base::TimePoint now) const {
  constexpr int64_t FullPermille = 1000;
  if (!isLimited())
    return 0;
  const int64_t used = std::clamp<int64_t>(depth() - levelAt(now), 0, depth());
  return static_cast<uint32_t>(used / (depth() / FullPermille));
}

} // namespace radishcross::admission
