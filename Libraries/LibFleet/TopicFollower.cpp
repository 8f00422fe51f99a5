#include <LibFleet/TopicFollower.h>

#include <algorithm>
#include <utility>

namespace radishcross::fleet {

/// Half of each pause is random, which spreads the calls of the nodes.
base::Duration TopicFollower::nextPause() {
  constexpr uint32_t MostDoublings = 8;
  auto pause = RelistInterval;
  // A failed connection has taken time already and costs the store no call.
  auto longest =
      WasUnreachable ? Settings.LongestUnreachablePause : Settings.LongestPause;
  if (Failures > 0)
    pause = std::min(Settings.ShortestPause *
                         (1U << std::min(Failures, MostDoublings)),
                     longest);
  return pause / 2 + base::Duration(Rng.below(pause.count() / 2 + 1));
}

void TopicFollower::setPace(base::Duration longPoll, base::Duration spacing,
                            base::Duration longestPause) {
  Settings.LongPoll = longPoll;
  Settings.Spacing = spacing;
  Settings.LargeSpacing = std::min(Settings.LargeSpacing, spacing);
  Settings.LongestPause = longestPause;
}

TopicStep TopicFollower::next() {
  IsSpacing = std::exchange(SpacingIsDue, false);
  if (IsSpacing)
    return {TopicStep::Kind::Pause, From, NextSpacing};
  if (std::exchange(PauseIsDue, false) && !std::exchange(SkipsPause, false))
    return {TopicStep::Kind::Pause, From, nextPause()};
  if (ListIsDue)
    return {TopicStep::Kind::List, 0, {}};
  return {TopicStep::Kind::Follow, From, Settings.LongPoll};
}

void TopicFollower::noteEnd(const TopicRead &read) {
  bool isAnswered = read.Reached || read.Expired;
  PauseIsDue = !isAnswered || Settings.ListsOnly;
  Failures = isAnswered ? 0 : Failures + 1;
  WasUnreachable = read.Unreachable;
  if (!read.Reached)
    ListIsDue = true;
  bool isLarge = read.Bytes > Settings.LargeBytes;
  NextSpacing = isLarge ? Settings.LargeSpacing : Settings.Spacing;
}

void TopicFollower::listed(const TopicRead &read) {
  noteEnd(read);
  if (!read.Reached)
    return;
  SpacingIsDue = !Settings.ListsOnly && HasListed && read.End > From;
  From = read.End;
  HasListed = true;
  ListIsDue = Settings.ListsOnly;
  RelistInterval = RelistInterval.count() == 0
                       ? Settings.FirstRelist
                       : std::min(RelistInterval * 2, Settings.LongestRelist);
}

void TopicFollower::followed(const TopicRead &read) {
  noteEnd(read);
  if (!read.Reached)
    return;
  bool isNew = read.Next > From;
  From = std::max(From, read.Next);
  ListIsDue = read.End > From;
  SpacingIsDue = isNew && !ListIsDue;
}

} // namespace radishcross::fleet
