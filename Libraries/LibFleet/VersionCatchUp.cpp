#include <LibFleet/VersionCatchUp.h>

namespace radishcross::fleet {

void VersionCatchUp::heard(uint64_t version, base::TimePoint now) {
  if (version <= Newest)
    return;
  Newest = version;
  // Half as much again is drawn, so that not all ask at one moment.
  auto drawn = base::Duration(Dice.below(Settings.Delay.count() / 2 + 1));
  NewestDue = now + Settings.Delay + drawn;
}

bool VersionCatchUp::isDue(const CatchUpView &view, base::TimePoint now) {
  if (IsAsking || now < NextAsk)
    return false;
  bool isBehind = Newest > view.Held && now >= NewestDue;
  if (!isBehind && view.IsStoreReached)
    return false;
  auto spacing = isBehind || view.Held == 0 ? Settings.EmptySpacing
                                            : Settings.BlindSpacing;
  NextAsk = now + spacing / 2 + base::Duration(Dice.below(spacing.count()));
  IsAsking = true;
  return true;
}

} // namespace radishcross::fleet
