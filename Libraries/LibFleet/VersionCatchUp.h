#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Random.h>
#include <LibFleet/Member.h>

#include <cstdint>
#include <deque>
#include <optional>

namespace radishcross::fleet {

/// Times of a node that takes the external configuration from its peers.
struct CatchUpSettings {
  /// How much later than the news a reader asks a peer: by then its own read
  /// of the store has brought the version, unless the store fails it.
  base::Duration Delay = std::chrono::milliseconds(250);
  /// How long a question without an answer keeps from the next: a peer behind
  /// a cut does not answer at all.
  base::Duration AnswerTimeout = std::chrono::milliseconds(600);
  /// Between two questions.
  base::Duration Spacing = std::chrono::milliseconds(100);
  /// What a node's link carries at the least; a version takes its time on it.
  uint64_t LeastBytesPerSecond = 875'000;
  /// How many times the transfer of a version over that link is waited for: the
  /// link carries calls as well.
  uint32_t Transfers = 3;
};

/// What a node sees when it decides whether to ask a peer.
struct CatchUpView {
  uint64_t Held = 0;         ///< The version in force; 0 for none.
  bool IsReading = false;    ///< It follows the store, which answers.
  bool IsReadSpaced = false; ///< The store is read again in a moment.
  uint64_t Bytes = 0;        ///< Of the version in force, as of the next one.
};

/// Decides when this node asks a peer for a newer version of the external
/// configuration than it holds, and whom: those that told of it hold it.
class VersionCatchUp {
public:
  VersionCatchUp(CatchUpSettings settings, uint64_t seed)
      : Settings(settings), Rng(seed) {}

  /// Takes the news that \p holder holds \p version.
  void versionAnnounced(uint64_t version, const NodeId &holder,
                        base::TimePoint now);

  /// Tells whether a peer is to be asked now; one at a time while they answer.
  bool isDue(const CatchUpView &view, base::TimePoint now);

  /// Returns whom to ask: the latest holder heard that was not asked yet, else
  /// any; nothing where none is known.
  std::optional<NodeId> nextHolder();

  /// Takes the end of a question; \p retryAfter is what a busy peer said.
  void ended(base::TimePoint now, base::Duration retryAfter = {});

private:
  base::Duration transferTime(const CatchUpView &view) const;

  CatchUpSettings Settings;
  base::Random Rng;
  uint64_t Newest = 0;             ///< The highest version heard of.
  std::deque<NodeId> Holders;      ///< Of Newest, the next to ask first.
  base::Duration JitteredDelay{};  ///< From the news to a reader's question.
  base::TimePoint NewestReadDue{}; ///< For a reader.
  base::TimePoint NextAsk{};
  base::TimePoint AskedUntil{}; ///< No answer is waited for later.
};

} // namespace radishcross::fleet
