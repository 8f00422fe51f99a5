#include <LibFleet/TopicFollower.h>

#include <algorithm>
#include <utility>

namespace radishcross::fleet {

TopicStep TopicFollower::next() {
  if (std::exchange(PauseIsDue, false)) {
    constexpr uint32_t MostDoublings = 8;
    auto pause = std::min(Settings.ShortestPause *
                              (1U << std::min(Failures, MostDoublings)),
                          Settings.LongestPause);
    // Half of it is drawn, so that the nodes' attempts spread out.
    auto drawn = base::Duration(Dice.below(pause.count() / 2 + 1));
    return {TopicStep::Kind::Pause, From, pause / 2 + drawn};
  }
  if (ListIsDue)
    return {TopicStep::Kind::List, 0, {}};
  return {TopicStep::Kind::Follow, From, Settings.LongPoll};
}

void TopicFollower::ended(bool reached) {
  PauseIsDue = !reached;
  Failures = reached ? 0 : Failures + 1;
}

void TopicFollower::listed(bool reached, uint64_t end) {
  ended(reached);
  if (!reached)
    return;
  From = end;
  HasListed = true;
  ListIsDue = false;
}

void TopicFollower::followed(bool reached, bool expired, uint64_t next) {
  ended(reached || expired);
  if (expired)
    ListIsDue = true;
  else if (reached)
    From = std::max(From, next);
}

} // namespace radishcross::fleet
