#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Random.h>

#include <chrono>
#include <cstdint>

namespace radishcross::fleet {

/// Times of a node that takes the external configuration from its peers.
struct CatchUpSettings {
  /// How much later than the news a peer is asked: by then this node's own
  /// read of the store has brought the version, unless the store fails it.
  base::Duration Delay = std::chrono::milliseconds(250);
  /// How long a question without an answer keeps from the next: a peer behind
  /// a cut does not answer at all.
  base::Duration Patience = std::chrono::milliseconds(600);
  /// Between two questions while nothing is held.
  base::Duration EmptySpacing = std::chrono::milliseconds(300);
  /// Between two questions while the store does not answer.
  base::Duration BlindSpacing = std::chrono::seconds(1);
  /// The thinnest link stated for a node carries 7 Mbit/s.
  uint64_t LeastBytesPerSecond = 875'000;
  /// How many times the transfer of a version over that link is waited for: the
  /// link carries calls as well. A second transfer beside the first one delays
  /// both, at this node and at the peer that is asked.
  uint32_t Transfers = 3;
};

/// What a node sees when it decides whether to ask a peer.
struct CatchUpView {
  uint64_t Held = 0;           ///< The version in force; 0 for none.
  bool IsStoreReached = false; ///< The store has answered the last read.
  bool IsReadSpaced = false;   ///< The store is read again in a moment.
  uint64_t Bytes = 0;          ///< Of the version in force, as of the next one.
};

/// Decides when this node asks a peer for a newer version of the external
/// configuration than it holds: the store serves some nodes and fails others.
class VersionCatchUp {
public:
  VersionCatchUp(CatchUpSettings settings, uint64_t seed)
      : Settings(settings), Dice(seed) {}

  /// Takes the news that \p version is in force at another node.
  void heard(uint64_t version, base::TimePoint now);

  /// Tells whether a peer is to be asked now; one at a time while they answer.
  bool isDue(const CatchUpView &view, base::TimePoint now);

  /// Takes the end of a question.
  void ended() { AskedUntil = {}; }

private:
  base::Duration transferTime(const CatchUpView &view) const;

  CatchUpSettings Settings;
  base::Random Dice;
  uint64_t Newest = 0;    ///< The highest version heard of.
  base::Duration Drawn{}; ///< From the news to the question.
  base::TimePoint NewestDue{};
  base::TimePoint NextAsk{};
  base::TimePoint AskedUntil{}; ///< No answer is waited for later.
};

} // namespace radishcross::fleet
