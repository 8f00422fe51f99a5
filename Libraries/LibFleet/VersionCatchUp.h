#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Random.h>
#include <LibFleet/Member.h>

#include <cstdint>
#include <deque>
#include <optional>

namespace radishcross::fleet {

/// Settings for fetching the external configuration from peers.
struct CatchUpSettings {
  /// How long after the announcement of a version a reader asks a peer: by then
  /// its own read of the store has returned the version, unless the store
  /// failed.
  base::Duration Delay = std::chrono::milliseconds(250);
  /// How long an unanswered request blocks the next one: a peer behind a
  /// network partition never answers.
  base::Duration AnswerTimeout = std::chrono::milliseconds(600);
  /// Mean time between two requests.
  base::Duration Spacing = std::chrono::milliseconds(100);
  /// Minimum bandwidth of a node's link, from which the transfer time of a
  /// version is estimated.
  uint64_t LeastBytesPerSecond = 875'000;
  /// Multiple of the estimated transfer time to wait for: the link carries
  /// calls as well.
  uint32_t Transfers = 3;
};

/// Input of the decision whether to ask a peer.
struct CatchUpView {
  uint64_t Held = 0; ///< Version in force; 0 for none.
  /// The node follows the store, and the store answers.
  bool IsReading = false;
  /// The next read of the store is due after a spacing.
  bool IsReadSpaced = false;
  /// Size of the version in force, taken as an estimate for the next.
  uint64_t Bytes = 0;
};

/// Decides when this node asks a peer for a newer version of the external
/// configuration than it holds, and which peer: those that announced the
/// version hold it.
class VersionCatchUp {
public:
  VersionCatchUp(CatchUpSettings settings, uint64_t seed)
      : Settings(settings), Rng(seed) {}

  /// Handles the announcement that \p holder holds \p version.
  void versionAnnounced(uint64_t version, const NodeId &holder,
                        base::TimePoint now);

  /// Returns true if a peer should be asked now. Allows one request at a time,
  /// unless it is not answered within AnswerTimeout and the transfer time.
  bool isDue(const CatchUpView &view, base::TimePoint now);

  /// Returns the peer to ask: the latest holder that was not asked yet, else
  /// the one asked longest ago; nothing if none is known.
  std::optional<NodeId> nextHolder();

  /// Handles the end of a request; \p retryAfter is the delay that a busy peer
  /// asked for.
  void requestEnded(base::TimePoint now, base::Duration retryAfter = {});

private:
  base::Duration transferTime(const CatchUpView &view) const;

  CatchUpSettings Settings;
  base::Random Rng;
  uint64_t Newest = 0; ///< Highest version announced.
  /// Holders of Newest; the next one to ask comes first.
  std::deque<NodeId> Holders;
  /// From an announcement to a reader's request.
  base::Duration JitteredDelay{};
  base::TimePoint NewestReadDue{}; ///< When a reader may ask for Newest.
  base::TimePoint NextAsk{};
  base::TimePoint AskedUntil{}; ///< When the outstanding request times out.
};

} // namespace radishcross::fleet
