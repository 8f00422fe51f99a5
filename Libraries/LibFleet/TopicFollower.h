#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Random.h>

#include <chrono>
#include <cstdint>

namespace radishcross::fleet {

/// Times of a reader of a topic.
struct TopicFollowerSettings {
  /// How long the store may hold a read; it allows 30 s.
  base::Duration LongPoll = std::chrono::seconds(25);
  base::Duration ShortestPause = std::chrono::milliseconds(200);
  base::Duration LongestPause = std::chrono::milliseconds(1500);
  /// From an answer that brought records to the next read: half of the 2 s in
  /// which a version is to be in force everywhere.
  base::Duration Spacing = std::chrono::seconds(1);
  /// Only list the keys, now and then, instead of waiting for what is added:
  /// for a topic that many write and that wakes every reader each time.
  bool ListsOnly = false;
  base::Duration FirstRelist = std::chrono::seconds(5);
  base::Duration LongestRelist = std::chrono::seconds(30);
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
/// Records that follow each other closely are a burst, of which only the newest
/// of each key counts: its keys are listed, spaced, until that brings nothing
/// new. So a burst costs each reader one read a spacing, however many and
/// however large its records are.
class TopicFollower {
public:
  TopicFollower(TopicFollowerSettings settings, uint64_t seed)
      : Settings(settings), Dice(seed) {}

  /// Returns what is due now; to be asked again once that has ended.
  TopicStep next();

  /// Has the next pause passed over, so that the keys are listed at once.
  void listSoon() { SkipsPause = true; }

  /// Takes the end of a List.
  void listed(bool reached, uint64_t end);

  /// Takes the end of a Follow; \p next is one past the last record read and
  /// \p end one past the newest, which an answer need not bring.
  void followed(bool reached, bool expired, uint64_t next, uint64_t end);

  /// Tells whether the pause returned last only spaces two reads.
  bool isSpacing() const { return IsSpacing; }

  /// Tells whether the newest records have been read at least once.
  bool hasListed() const { return HasListed; }

private:
  void ended(bool reached);
  base::Duration nextPause();

  TopicFollowerSettings Settings;
  base::Random Dice;
  uint64_t From = 0;
  bool HasListed = false;
  bool ListIsDue = true;
  bool PauseIsDue = false;
  bool SkipsPause = false;
  bool SpacingIsDue = false;
  bool IsSpacing = false;
  base::Duration Relist{}; ///< The last pause between two lists.
  uint32_t Failures = 0;   ///< In a row.
};

} // namespace radishcross::fleet
