#include <LibFleet/TopicFollower.h>

#include <algorithm>
#include <utility>

namespace radishcross::fleet {

/// Half of a pause is drawn, so that the nodes' calls spread out.
base::Duration TopicFollower::nextPause() {
  constexpr uint32_t MostDoublings = 8;
  auto pause = Relist;
  if (Failures > 0)
    pause = std::min(Settings.ShortestPause *
                         (1U << std::min(Failures, MostDoublings)),
                     Settings.LongestPause);
  return pause / 2 + base::Duration(Dice.below(pause.count() / 2 + 1));
}

TopicStep TopicFollower::next() {
  IsSpacing = std::exchange(SpacingIsDue, false);
  if (IsSpacing)
    return {TopicStep::Kind::Pause, From, Settings.Spacing};
  if (std::exchange(PauseIsDue, false) && !std::exchange(SkipsPause, false))
    return {TopicStep::Kind::Pause, From, nextPause()};
  if (ListIsDue)
    return {TopicStep::Kind::List, 0, {}};
  return {TopicStep::Kind::Follow, From, Settings.LongPoll};
}

void TopicFollower::ended(bool reached) {
  PauseIsDue = !reached || Settings.ListsOnly;
  Failures = reached ? 0 : Failures + 1;
}

void TopicFollower::listed(bool reached, uint64_t end) {
  ended(reached);
  if (!reached)
    return;
  bool isBurst = !Settings.ListsOnly && HasListed && end > From;
  From = end;
  HasListed = true;
  SpacingIsDue = isBurst;
  ListIsDue = Settings.ListsOnly || isBurst;
  Relist = Relist.count() == 0 ? Settings.FirstRelist
                               : std::min(Relist * 2, Settings.LongestRelist);
}

void TopicFollower::followed(bool reached, bool expired, uint64_t next,
                             uint64_t end) {
  ended(reached || expired);
  if (expired)
    ListIsDue = true;
  if (expired || !reached)
    return;
  uint64_t count = next > From ? next - From : 0;
  From = std::max(From, next);
  // Newer ones that did not fit the answer are not waited for.
  bool hasMore = end > From;
  SpacingIsDue = count > 0 && !hasMore;
  ListIsDue = hasMore || count > 1;
}

} // namespace radishcross::fleet
