#include <LibHttp/MemoryAccount.h>

#include <limits>

namespace radishcross::http {

namespace {

/// Bytes a microsecond since the hold began; a new one counts as fast.
double rateOf(size_t moved, base::Duration age) {
  if (age < MemoryAccount::StallTime)
    return std::numeric_limits<double>::infinity();
  return static_cast<double>(moved) / static_cast<double>(age.count());
}

} // namespace

MemoryAccount::HoldId MemoryAccount::open(HoldKind kind, base::TimePoint now) {
  if (Free.empty()) {
    Free.push_back(static_cast<HoldId>(Holds.size()));
    Holds.emplace_back();
  }
  HoldId id = Free.back();
  Free.pop_back();
  Holds[id] = {kind, true, 0, 0, now, now, std::nullopt};
  return id;
}

void MemoryAccount::close(HoldId id) {
  setBytes(Holds[id], 0);
  Holds[id].Open = false;
  Free.push_back(id);
}

void MemoryAccount::setBytes(Hold &hold, size_t bytes) {
  Held = Held - hold.Bytes + bytes;
  if (!givesWay(hold.Kind))
    Fixed = Fixed - hold.Bytes + bytes;
  hold.Bytes = bytes;
}

void MemoryAccount::startRunning(HoldId id) {
  Hold &hold = Holds[id];
  size_t bytes = hold.Bytes;
  setBytes(hold, 0);
  hold.Kind = HoldKind::Running;
  setBytes(hold, bytes);
}

void MemoryAccount::progressed(HoldId id, size_t moved, base::TimePoint now) {
  Hold &hold = Holds[id];
  if (moved <= hold.Moved)
    return;
  hold.Moved = moved;
  hold.ProgressAt = now;
}

void MemoryAccount::pause(HoldId id, base::TimePoint now) {
  Holds[id].PausedAt = now;
}

void MemoryAccount::resume(HoldId id, base::TimePoint now) {
  Hold &hold = Holds[id];
  const auto paused = now - hold.PausedAt.value_or(now);
  hold.Began += paused;
  hold.ProgressAt += paused;
  hold.PausedAt.reset();
}

MemoryAccount::Claim MemoryAccount::claim(HoldId id, size_t bytes,
                                          base::TimePoint now) {
  return makeRoom(id, bytes, now, false);
}

MemoryAccount::Claim MemoryAccount::charge(HoldId id, size_t bytes,
                                           base::TimePoint now) {
  return makeRoom(id, bytes, now, true);
}

bool MemoryAccount::isWeaker(const Hold &a, const Hold &b,
                             base::TimePoint now) const {
  bool isSmallA = a.Bytes <= Limits.SmallBytes;
  bool isSmallB = b.Bytes <= Limits.SmallBytes;
  if (isSmallA != isSmallB)
    return isSmallB;
  bool isStalledA = a.isStalled(now);
  bool isStalledB = b.isStalled(now);
  if (isStalledA != isStalledB)
    return isStalledA;
  if (isStalledA)
    return a.ProgressAt < b.ProgressAt;
  return rateOf(a.Moved, a.age(now)) < rateOf(b.Moved, b.age(now));
}

size_t MemoryAccount::weakest(base::TimePoint now, size_t except) const {
  size_t out = Holds.size();
  for (size_t i = 0; i < Holds.size(); ++i) {
    const Hold &it = Holds[i];
    if (i == except || !it.Open || it.Bytes == 0 || !givesWay(it.Kind))
      continue;
    if (out == Holds.size() || isWeaker(it, Holds[out], now))
      out = i;
  }
  return out;
}

MemoryAccount::Claim MemoryAccount::makeRoom(HoldId id, size_t bytes,
                                             base::TimePoint now, bool forced) {
  Claim out;
  Hold &own = Holds[id];
  size_t before = own.Bytes;
  setBytes(own, bytes);
  if (bytes <= before)
    return out;
  while (Held > allowance(bytes)) {
    // What is there already can't be refused.
    size_t victim = weakest(now, forced ? id : Holds.size());
    if (victim == Holds.size())
      break;
    if (victim == id) {
      setBytes(own, 0);
      out.Granted = false;
      return out;
    }
    setBytes(Holds[victim], 0);
    out.GiveWay.push_back(static_cast<HoldId>(victim));
  }
  if (Held > allowance(bytes) && !forced) {
    setBytes(own, 0);
    out.Granted = false;
  }
  return out;
}

} // namespace radishcross::http
