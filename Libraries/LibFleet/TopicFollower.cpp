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
  From = end;
  HasListed = true;
  ListIsDue = Settings.ListsOnly;
  Relist = Relist.count() == 0 ? Settings.FirstRelist
                               : std::min(Relist * 2, Settings.LongestRelist);
}

void TopicFollower::followed(bool reached, bool expired, uint64_t next) {
  ended(reached || expired);
  if (expired)
    ListIsDue = true;
  else if (reached)
    From = std::max(From, next);
}

} // namespace radishcross::fleet
