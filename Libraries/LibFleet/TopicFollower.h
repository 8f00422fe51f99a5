#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Random.h>

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace radishcross::fleet {

/// Settings of a topic follower.
struct TopicFollowerSettings {
  /// How long the store may hold a read (long poll); it allows up to 30 s.
  base::Duration LongPoll = std::chrono::seconds(25);
  base::Duration ShortestPause = std::chrono::milliseconds(200);
  base::Duration LongestPause = std::chrono::milliseconds(1500);
  /// Longest pause after a failed connection. Once a partitioned zone is
  /// reachable again, 3 s are left for a connection attempt begun before, a
  /// pause and the transfer of a large record.
  base::Duration LongestUnreachablePause = std::chrono::milliseconds(400);
  /// Time from an answer with records to the next read: half of the 2 s within
  /// which a version must be in force everywhere.
  base::Duration Spacing = std::chrono::seconds(1);
  /// The same after large records: their transfer takes time as well, and so
  /// will that of the next ones.
  base::Duration LargeSpacing = std::chrono::milliseconds(200);
  /// Size from which records count as large: what a link of 7 Mbit/s, the
  /// slowest supported, carries in 0.1 s.
  size_t LargeBytes = 85UL << 10;
  /// List the keys periodically instead of long-polling for new records. For
  /// topics with many writers, where each write would wake every reader.
  bool ListsOnly = false;
  base::Duration FirstRelist = std::chrono::seconds(5);
  base::Duration LongestRelist = std::chrono::seconds(30);
};

/// How one read of a topic ended.
struct TopicRead {
  bool Reached = false; ///< The store returned the requested records.
  bool Expired = false; ///< The store no longer holds the requested records.
  /// No connection was made, so the store got no call.
  bool Unreachable = false;
  uint64_t Next = 0; ///< One past the last record read.
  /// One past the newest in the store, which need not be in the answer.
  uint64_t End = 0;
  size_t Bytes = 0; ///< Size of the records read.
};

/// The next step of a topic's reader.
struct TopicStep {
  enum class Kind : uint8_t {
    List,   ///< Read the newest record of each key.
    Follow, ///< Long-poll for records from From on, for at most Wait.
    Pause,  ///< Do nothing for Wait.
  };
  Kind What = Kind::List;
  uint64_t From = 0;
  base::Duration Wait{};
};

/// Decides how a reader keeps up with a topic: it lists the keys once, then
/// follows new records; it lists the keys again if the history it needs was
/// dropped. With ListsOnly it lists the keys at growing intervals instead.
///
/// In a burst of records only the newest of each key matters. Reads that
/// returned records are spaced, so that a burst costs a reader at most two
/// reads per spacing. If an answer had no room for the newest record, or after
/// the store was unreachable, the keys are listed instead of reading on from
/// the oldest record.
class TopicFollower {
public:
  TopicFollower(TopicFollowerSettings settings, uint64_t seed)
      : Settings(settings), Rng(seed) {}

  /// Returns the next step. Call again once that step has ended.
  TopicStep next();

  /// Sets how long the store may hold a read, the spacing between reads that
  /// return records, and the longest pause between failed reads.
  void setPace(base::Duration longPoll, base::Duration spacing,
               base::Duration longestPause);

  /// Suspends reading; the keys are listed when it resumes.
  void suspend() { ListIsDue = true; }

  /// Skips the next pause, so that the keys are listed at once.
  void listNow() { SkipsPause = true; }

  /// Handles the end of a List; ignores Next of \p read.
  void listed(const TopicRead &read);

  /// Handles the end of a Follow.
  void followed(const TopicRead &read);

  /// Returns true if the last pause only spaces two reads and does not follow a
  /// failure.
  bool isSpacing() const { return IsSpacing; }

  /// Returns true once the newest record of each key has been read.
  bool hasListed() const { return HasListed; }

private:
  void noteEnd(const TopicRead &read);
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
  base::Duration RelistInterval{}; ///< Last interval between two lists.
  uint32_t Failures = 0;           ///< Consecutive failures.
};

} // namespace radishcross::fleet
