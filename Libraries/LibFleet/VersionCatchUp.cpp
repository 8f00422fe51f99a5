#include <LibFleet/VersionCatchUp.h>

#include <algorithm>

namespace radishcross::fleet {

void VersionCatchUp::heard(uint64_t version, base::TimePoint now) {
  if (version <= Newest)
    return;
  Newest = version;
  // Half as much again is drawn, so that not all ask at one moment.
  Drawn = Settings.Delay +
          base::Duration(Dice.below(Settings.Delay.count() / 2 + 1));
  NewestDue = now + Drawn;
}

base::Duration VersionCatchUp::transferTime(const CatchUpView &view) const {
  return std::chrono::microseconds(view.Bytes * 1'000'000 * Settings.Transfers /
                                   Settings.LeastBytesPerSecond);
}

bool VersionCatchUp::isDue(const CatchUpView &view, base::TimePoint now) {
  // The time for this node's own read counts from when it may begin.
  if (view.IsReadSpaced && Newest > view.Held)
    NewestDue = std::max(NewestDue, now + Drawn);
  if (now < AskedUntil || now < NextAsk)
    return false;
  bool isBehind = Newest > view.Held && now >= NewestDue + transferTime(view);
  if (!isBehind && view.IsStoreReached)
    return false;
  auto spacing = isBehind || view.Held == 0 ? Settings.EmptySpacing
                                            : Settings.BlindSpacing;
  NextAsk = now + spacing / 2 + base::Duration(Dice.below(spacing.count()));
  AskedUntil = now + Settings.Patience + transferTime(view);
  return true;
}

} // namespace radishcross::fleet
