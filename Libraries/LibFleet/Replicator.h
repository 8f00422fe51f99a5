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

/// Settings of the replication of log records.
struct ReplicatorSettings {
  base::Duration LongPoll = std::chrono::seconds(5);
  /// Minimum time between two reads that return no records.
  base::Duration EmptyReadSpacing = std::chrono::milliseconds(250);
  base::Duration ShortestBackoff = std::chrono::milliseconds(100);
  base::Duration LongestBackoff = std::chrono::seconds(8);
  /// Average time between two reads of the log by any of the nodes of a data
  /// centre that are not tailers, so that tailers that are alive but hang are
  /// made up for.
  base::Duration SafetyReadPeriod = std::chrono::seconds(10);
  /// If more records than this are missing, the whole state is pulled instead.
  log::Offset StateDistance = 512;
  uint32_t FailedPullsBeforeRead = 3;
};

/// A read or pull that the replicator asks its caller to carry out.
struct ReplicationAction {
  enum class Kind : uint8_t { ReadLog, PullRecords, PullState };
  Kind What = Kind::ReadLog;
  NodeId Peer;          ///< Peer to pull from.
  log::Offset From = 1; ///< First offset to fetch.
  /// Maximum time the platform may hold the request (long poll).
  base::Duration Wait{};
};

/// How a pull ended.
enum class PullOutcome : uint8_t { Advanced, Nothing, Busy, Expired, Failed };

/// A live peer that holds more records than this node.
struct ReplicationSource {
  NodeId Id;
  log::Offset Held = 0;
  bool IsLocal = false; ///< In this node's data centre.
};

/// Input of the replicator's decision.
struct ReplicationView {
  log::Offset Held = 0;
  bool Tails = false;      ///< The node is a tailer of its data centre.
  bool ReadsToEnd = false; ///< Recovery must read the log, tailer or not.
  bool NeedsState = false; ///< The log no longer holds the next record.
  uint32_t LocalSize = 1;  ///< Live members of its data centre.
  std::vector<ReplicationSource> Ahead;
};

/// Returns a view with Held, LocalSize and Ahead filled in from the table; the
/// caller sets the other fields.
ReplicationView viewForReplication(const MemberTable &table, const NodeId &self,
                                   const std::string &dataCentre,
                                   log::Offset held);

/// Decides where this node fetches missing records from: a few nodes of each
/// data centre tail the log, all others pull from peers that hold more.
class Replicator {
public:
  Replicator(ReplicatorSettings settings, uint64_t seed);

  /// Returns the actions due; at most one read and one pull are outstanding at
  /// a time.
  std::vector<ReplicationAction> next(const ReplicationView &view,
                                      base::TimePoint now);

  /// Handles the end of a read.
  void readDone(bool reached, bool hasRecords, base::TimePoint now);

  /// Handles the end of a pull; \p retryAfter is used for Busy only.
  void pullDone(const NodeId &peer, PullOutcome outcome,
                base::Duration retryAfter, base::TimePoint now);

  /// Requests one read at once, because this node has just appended a record.
  void requestRead() { ReadRequested = true; }

  /// Returns true if \p id is one of the \p count tailers of its data centre:
  /// the live members with the highest rendezvous weights.
  static bool isTailer(const MemberTable &table, const std::string &dataCentre,
                       const NodeId &id, uint32_t count);

  /// Returns the ids of the tailers of all data centres.
  static std::vector<NodeId> tailers(const std::vector<Member> &members,
                                     uint32_t count);

private:
  std::optional<ReplicationAction> nextRead(const ReplicationView &view,
                                            base::TimePoint now);
  std::optional<ReplicationAction> nextPull(const ReplicationView &view,
                                            base::TimePoint now);
  const ReplicationSource *chooseSource(const ReplicationView &view,
                                        base::TimePoint now);
  void planSafetyRead(base::TimePoint now);
  base::TimePoint nextSafetyRead(const ReplicationView &view) const;

  ReplicatorSettings Settings;
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
  /// Random share of the period until the next safety read; 0 if unset.
  uint32_t SafetyPercent = 0;
};

} // namespace radishcross::fleet
