#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Random.h>

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace radishcross::fleet {

/// Times of a reader of a topic.
struct TopicFollowerSettings {
  /// How long the store may hold a read; it allows 30 s.
  base::Duration LongPoll = std::chrono::seconds(25);
  base::Duration ShortestPause = std::chrono::milliseconds(200);
  base::Duration LongestPause = std::chrono::milliseconds(1500);
  /// The same where no connection came about. After a cut of a zone 3 s are
  /// left for an attempt that began within it, a pause and a large record.
  base::Duration LongestUnreachablePause = std::chrono::milliseconds(400);
  /// From an answer that brought records to the next read: half of the 2 s in
  /// which a version is to be in force everywhere.
  base::Duration Spacing = std::chrono::seconds(1);
  /// The same after records that are large: they take that long to arrive, and
  /// so will the next ones.
  base::Duration LargeSpacing = std::chrono::milliseconds(200);
  /// What a link of 7 Mbit/s, the least stated, carries in a tenth of a second.
  size_t LargeBytes = 85UL << 10;
  /// Only list the keys, now and then, instead of waiting for what is added:
  /// for a topic that many write and that wakes every reader each time.
  bool ListsOnly = false;
  base::Duration FirstRelist = std::chrono::seconds(5);
  base::Duration LongestRelist = std::chrono::seconds(30);
};

/// How one read of a topic ended.
struct TopicRead {
  bool Reached = false;     ///< The store answered with what it was asked for.
  bool Expired = false;     ///< It no longer keeps the records asked for.
  bool Unreachable = false; ///< No connection came about: no call to the store.
  uint64_t Next = 0;        ///< One past the last record read.
  uint64_t End = 0; ///< One past the newest, which an answer need not bring.
  size_t Bytes = 0; ///< Of the records read.
};

/// What a reader of a topic does next.
struct TopicStep {
  enum class Kind : uint8_t {
    List,   ///< Read the newest record of each key.
    Follow, ///< Wait for records from From on, for For at most.
    Pause,  ///< Do nothing for For.
  };
  Kind What = Kind::List;
  uint64_t From = 0;
  base::Duration For{};
};

/// Decides how one topic is kept up with: its keys once, then what is added;
/// its keys again when the history has been dropped in between. Or its keys
/// alone, at intervals that grow.
///
/// Records that follow each other closely are a burst, of which the newest of
/// each key counts. Reads that brought any are spaced, so that a burst costs a
/// reader at most two reads a spacing; where an answer had no room for the
/// newest, and after the store was lost, the keys are listed instead of reading
/// on from the oldest.
class TopicFollower {
public:
  TopicFollower(TopicFollowerSettings settings, uint64_t seed)
      : Settings(settings), Rng(seed) {}

  /// Returns what is due now; to be asked again once that has ended.
  TopicStep next();

  /// Changes how long the store may hold a read, what spaces two reads and the
  /// longest pause between two that fail.
  void setPace(base::Duration longPoll, base::Duration spacing,
               base::Duration longestPause);

  /// Notes that reading ends for a while: the keys are listed when it goes on.
  void suspend() { ListIsDue = true; }

  /// Has the next pause passed over, so that the keys are listed at once.
  void listNow() { SkipsPause = true; }

  /// Takes the end of a List, of which Next does not count.
  void listed(const TopicRead &read);

  /// Takes the end of a Follow.
  void followed(const TopicRead &read);

  /// Tells whether the pause returned last only spaces two reads.
  bool isSpacing() const { return IsSpacing; }

  /// Tells whether the newest records have been read at least once.
  bool hasListed() const { return HasListed; }

private:
  void ended(const TopicRead &read);
  base::Duration nextPause();

  TopicFollowerSettings Settings;
  base::Random Rng;
  uint64_t From = 0;
  bool HasListed = false;
  bool ListIsDue = true;
  bool PauseIsDue = false;
  bool SkipsPause = false;
  bool SpacingIsDue = false;
  bool IsSpacing = false;
  bool WasUnreachable = false;
  base::Duration NextSpacing{};
  base::Duration RelistInterval{}; ///< The last pause between two lists.
  uint32_t Failures = 0;           ///< In a row.
};

} // namespace radishcross::fleet
