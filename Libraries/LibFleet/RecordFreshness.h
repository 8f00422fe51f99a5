#pragma once

#include <LibBase/Clock.h>
#include <LibBase/EnumNames.h>
#include <LibBase/Random.h>

#include <chrono>
#include <cstdint>
#include <optional>

namespace radishcross::fleet {

/// A node's report on the external configuration, the operator's record: the
/// version it holds, and how long ago the store was known to hold nothing
/// newer.
struct FreshnessReport {
  uint64_t Version = 0; ///< 0 if the record was never written or not seen.
  std::optional<base::Duration> Age;
};

/// Settings for reading the operator's record. Waits are fractions of Bound,
/// which leaves the rest of it for a node's own read and for passing a version
/// to its peers.
struct FreshnessSettings {
  /// Maximum time from the store's acknowledgement of a version until every
  /// node holds it.
  base::Duration Bound = std::chrono::seconds(2);
  /// A starting node does not read before this time: by then its peers have
  /// reported.
  base::Duration StartupDelay = std::chrono::milliseconds(250);
  /// This many nodes of each data centre, by rank, read again soon after a
  /// failed read; the others can wait for their reports.
  uint32_t EagerReaders = 2;
};

/// A node's rank by rendezvous hashing among the live nodes of its data centre.
struct ReaderRank {
  uint32_t Rank = 0;
  uint32_t Count = 1;
};

/// How a node currently reads the operator's record.
struct ReadDuty {
  enum class Kind : uint8_t {
    None,   ///< No reads: the reports of others are fresh.
    Once,   ///< Read the newest version once.
    Follow, ///< Long-poll for each new version.
  };
  Kind What = Kind::None;
  base::Duration LongPoll{};     ///< How long the store may hold a read.
  base::Duration Spacing{};      ///< From a read with records to the next one.
  base::Duration LongestPause{}; ///< Between reads that fail.
};

constexpr base::EnumName<ReadDuty::Kind> ReadDutyNames[] = {
    {ReadDuty::Kind::None, "none"},
    {ReadDuty::Kind::Once, "once"},
    {ReadDuty::Kind::Follow, "follow"},
};

/// A read of the operator's record that found nothing newer than what the node
/// then holds.
struct RecordReading {
  base::TimePoint StartedAt;
  /// Before this time the store did not answer; set for a read that it held
  /// and answered without records.
  std::optional<base::TimePoint> HeldUntil;
};

/// Decides which nodes read the operator's record. One node of each data centre
/// follows it and reports what it saw. A node whose freshest report is too old
/// reads the record itself, lower rank numbers first, so that the loss of the
/// reader causes one or two extra reads and never a late version.
///
/// Times are of a clock that keeps running while the machine is suspended.
class RecordFreshness {
public:
  RecordFreshness(FreshnessSettings settings, uint64_t seed,
                  base::TimePoint now);

  /// Sets the version that this node holds; ignores older ones.
  void setHeldVersion(uint64_t version);

  /// Handles a read by this node that, as of \p asOf, found nothing newer than
  /// the version held.
  void readConfirmed(base::TimePoint asOf);

  /// Handles a peer's report.
  void reported(const FreshnessReport &report, base::TimePoint now);

  /// Returns this node's report.
  FreshnessReport report(base::TimePoint now) const;

  /// Returns how long ago the store was last known to hold nothing newer than
  /// the versions held or reported; nothing if that was never known.
  std::optional<base::Duration> currentAge(base::TimePoint now) const;

  /// Returns true once the version held is known to be as new as any that an
  /// earlier process of this node held: since this process started the store
  /// was known to hold nothing newer or, if no node hears from the store, the
  /// bound has passed, by which every node holds what was accepted before.
  bool isAsNewAsBefore(base::TimePoint now) const {
    return WasConfirmed || now - Started >= Settings.Bound;
  }

  /// Returns true if a new version or a fresher report should be pushed to
  /// peers; true only once for each.
  bool takePendingPush();

  ReadDuty duty(const ReaderRank &rank, base::TimePoint now) const;

private:
  base::Duration boundShare(int64_t percent) const {
    return Settings.Bound * percent / 100;
  }
  base::Duration maximumReportAge(const ReaderRank &rank) const;
  /// Records that at \p asOf the store held nothing newer than the version
  /// held.
  void confirmCurrent(std::optional<base::TimePoint> asOf);

  FreshnessSettings Settings;
  base::TimePoint Started;
  base::TimePoint StartupDelayEnds;
  uint64_t Held = 0;
  /// When the version held was last known to be the newest.
  std::optional<base::TimePoint> ConfirmedAt;
  /// A version held was known to be the newest at a time after the start.
  bool WasConfirmed = false;
  /// When the store was last known to hold nothing newer than the version held
  /// then or any reported since.
  std::optional<base::TimePoint> CurrentAt;
  uint64_t Newest = 0; ///< Newest version reported; may not be held yet.
  std::optional<base::TimePoint> NewestAt;
  uint64_t PushedVersion = 0;
  std::optional<base::TimePoint> PushedAt;
};

} // namespace radishcross::fleet
