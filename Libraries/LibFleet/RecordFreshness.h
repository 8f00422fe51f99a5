#pragma once

#include <LibBase/Clock.h>
#include <LibBase/EnumNames.h>
#include <LibBase/Random.h>

#include <chrono>
#include <cstdint>
#include <optional>

namespace radishcross::fleet {

/// What a node tells of the operator's record: the version that it holds and
/// how long ago the store is known to have held nothing newer.
struct FreshnessReport {
  uint64_t Version = 0; ///< 0: the record was never written, or not seen.
  std::optional<base::Duration> Age;
};

/// Times of the reading of the operator's record. Fractions of the bound leave
/// the rest of it for a node's own read and the way of a version to its peers.
struct FreshnessSettings {
  /// From the store's acknowledgement of a version to the last node.
  base::Duration Bound = std::chrono::seconds(2);
  /// A starting node reads nothing before: by then its peers have told it.
  base::Duration StartupDelay = std::chrono::milliseconds(250);
  /// In a data centre of so few live nodes each follows the record by itself,
  /// which costs less calls than fresh words do.
  uint32_t MaximumIndependentFollowers = 4;
  /// Until then a starting node may know few of them.
  base::Duration DiscoveryTime = std::chrono::seconds(3);
};

/// The place of a node among the live of its data centre, by rendezvous.
struct ReaderRank {
  uint32_t Rank = 0;
  uint32_t Count = 1;
};

/// How a node reads the operator's record now.
struct ReadDuty {
  enum class Kind : uint8_t {
    None,   ///< Not at all: others' words are fresh.
    Once,   ///< The newest, once.
    Follow, ///< Wait for each new version.
  };
  Kind What = Kind::None;
  base::Duration LongPoll{}; ///< How long the store may hold a read.
  base::Duration Spacing{};  ///< From a read that brought records to the next.
  base::Duration LongestPause{}; ///< Between reads that fail.
};

constexpr base::EnumName<ReadDuty::Kind> ReadDutyNames[] = {
    {ReadDuty::Kind::None, "none"},
    {ReadDuty::Kind::Once, "once"},
    {ReadDuty::Kind::Follow, "follow"},
};

/// Decides which nodes read the operator's record. One of each data centre
/// follows it and spreads word of what it saw; a node whose freshest word is
/// too old reads for itself, those of lower ranks first, so that a reader that
/// is gone costs a read or two and never a late version.
///
/// Times are those of a clock that counts a suspension of the machine.
class RecordFreshness {
public:
  RecordFreshness(FreshnessSettings settings, uint64_t seed,
                  base::TimePoint now);

  /// Notes the version that this node holds.
  void hold(uint64_t version);

  /// Takes that a read of this node's own showed nothing newer than what it
  /// holds, as of \p asOf.
  void read(base::TimePoint asOf);

  /// Takes a peer's word.
  void reported(const FreshnessReport &report, base::TimePoint now);

  /// Returns this node's own word.
  FreshnessReport report(base::TimePoint now) const;

  /// Tells whether there is a version or a fresher word to pass on; once for
  /// each.
  bool takePendingPush();

  ReadDuty duty(const ReaderRank &rank, base::TimePoint now) const;

private:
  base::Duration boundShare(int64_t percent) const {
    return Settings.Bound * percent / 100;
  }
  base::Duration maximumReportAge(const ReaderRank &rank) const;
  /// Notes that nothing newer than the version held was there at \p asOf.
  void confirmCurrent(std::optional<base::TimePoint> asOf);

  FreshnessSettings Settings;
  base::TimePoint Started;
  base::TimePoint StartupDelayEnds;
  uint64_t Held = 0;
  std::optional<base::TimePoint> ConfirmedAt; ///< For the version held.
  /// When it was last known that nothing newer than what was held then, or
  /// heard of since, is there.
  std::optional<base::TimePoint> CurrentAt;
  uint64_t Newest = 0; ///< Heard of, not yet held.
  std::optional<base::TimePoint> NewestAt;
  uint64_t PushedVersion = 0;
  std::optional<base::TimePoint> PushedAt;
};

} // namespace radishcross::fleet
