#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Random.h>
#include <LibFleet/Backoff.h>
#include <LibFleet/MemberTable.h>
#include <LibLog/Record.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace radishcross::fleet {

/// Periods and bounds of the spreading of records.
struct SpreaderSettings {
  base::Duration LongPoll = std::chrono::seconds(5);
  /// The least time between two reads that bring nothing.
  base::Duration EmptyReadSpacing = std::chrono::milliseconds(250);
  base::Duration ShortestBackoff = std::chrono::milliseconds(100);
  base::Duration LongestBackoff = std::chrono::seconds(8);
  /// Each data centre's nodes that do not tail read the log about this often
  /// altogether, so that tailers which are alive but stuck do no lasting harm.
  base::Duration SafetyReadPeriod = std::chrono::seconds(10);
  /// From this many missing records on, the whole state is pulled instead.
  log::Offset StateDistance = 512;
  uint32_t FailedPullsBeforeRead = 3;
};

/// What the spreader wants done.
struct SpreadAction {
  enum class Kind : uint8_t { ReadLog, PullRecords, PullState };
  Kind What = Kind::ReadLog;
  NodeId Peer;           ///< To pull from.
  log::Offset From = 1;  ///< The first offset wanted.
  base::Duration Wait{}; ///< How long the platform may hold the answer.
};

/// How a pull ended.
enum class PullOutcome : uint8_t { Advanced, Nothing, Busy, Expired, Failed };

/// A live peer that holds more records than this node.
struct SpreadSource {
  NodeId Id;
  log::Offset Held = 0;
  bool IsLocal = false; ///< In this node's data centre.
};

/// What a node sees when it decides what to take from where.
struct SpreadView {
  log::Offset Held = 0;
  bool Tails = false;      ///< One of its data centre's tailers.
  bool ReadsToEnd = false; ///< Recovery needs the log, whoever tails.
  bool NeedsState = false; ///< The log no longer has the next record.
  uint32_t LocalSize = 1;  ///< Live members of its data centre.
  std::vector<SpreadSource> Ahead;
};

/// Returns what the table says of the peers of a node that holds \p held; the
/// other fields stay for the caller to fill in.
SpreadView viewForSpreading(const MemberTable &table, const NodeId &self,
                            const std::string &dataCentre, log::Offset held);

/// Decides from where this node takes the records that it lacks: a few nodes
/// of each data centre tail the log, all others pull from whoever is ahead.
class Spreader {
public:
  Spreader(SpreaderSettings settings, uint64_t seed);

  /// Returns what is due; at most one read and one pull run at a time.
  std::vector<SpreadAction> next(const SpreadView &view, base::TimePoint now);

  /// Takes the end of a read.
  void readDone(bool reached, bool hasRecords, base::TimePoint now);

  /// Takes the end of a pull; \p retryAfter counts for Busy.
  void pullDone(const NodeId &peer, PullOutcome outcome,
                base::Duration retryAfter, base::TimePoint now);

  /// Asks for one read now, because something was just appended here.
  void requestRead() { ReadRequested = true; }

  /// Tells whether \p id is one of the \p count nodes of its data centre that
  /// tail the log: those of the highest rendezvous weights among the live.
  static bool isTailer(const MemberTable &table, const std::string &dataCentre,
                       const NodeId &id, uint32_t count);

  /// Returns the ids of the tailers of all data centres.
  static std::vector<NodeId> tailers(const std::vector<Member> &members,
                                     uint32_t count);

private:
  std::optional<SpreadAction> nextRead(const SpreadView &view,
                                       base::TimePoint now);
  std::optional<SpreadAction> nextPull(const SpreadView &view,
                                       base::TimePoint now);
  const SpreadSource *chooseSource(const SpreadView &view, base::TimePoint now);
  void planSafetyRead(base::TimePoint now);
  base::TimePoint nextSafetyRead(const SpreadView &view) const;

  SpreaderSettings Settings;
  base::Random Rng;
  Backoff ReadBackoff;
  Backoff PullBackoff;
  std::map<NodeId, base::TimePoint> BusyUntil;
  bool ReadRunning = false;
  bool PullRunning = false;
  bool ReadRequested = false;
  bool StateWanted = false;
  base::TimePoint NextRead{};
  base::TimePoint NextPull{};
  base::TimePoint LastSafetyRead{};
  uint32_t SafetyPercent = 0; ///< Of the period until the next one, drawn.
};

} // namespace radishcross::fleet
