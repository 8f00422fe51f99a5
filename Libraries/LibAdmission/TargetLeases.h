#pragma once

#include <LibAdmission/LivenessProof.h>
#include <LibBase/Clock.h>
#include <LibBase/LastReason.h>
#include <LibFleet/Member.h>
#include <LibTrace/Recorder.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace radishcross::admission {

/// Announcement of a target to its node, sent at its start and as a heartbeat.
struct Announcement {
  fleet::TargetRecord Target; ///< Epoch: the last one granted, 0 at first.
};

/// Periodic heartbeat of a target that holds no epoch. Incarnation and sequence
/// order the heartbeats.
struct Heartbeat {
  fleet::TargetRecord Target; ///< Epoch: not used.
  uint64_t Incarnation = 0;   ///< Of the target's process; increases.
  uint64_t Sequence = 0;      ///< Increases within an incarnation.
};

/// The node's answer to an announcement.
struct LeaseAnswer {
  uint64_t Epoch = 0;
  base::Duration Lifetime{};
};

/// Events of trace entries; the text is the target unless stated otherwise.
/// Announce: epoch, state, slots, connections, load, lifetime; outcome: the
/// granted epoch, or 0 and the code of the refusal. Tick: outcome: 1.
/// Heartbeat: incarnation, sequence, state, slots, lifetime; text: "ADDRESS
/// TARGET"; outcome: 0 or the code of the refusal. Leave: milliseconds since
/// 1970; outcome: 1 if the target is known. Leaving and Restore: epoch;
/// outcome: 1 if it is news. The lifetime is that of the leases granted then,
/// in microseconds; 0 in traces of older programs.
struct LeaseEvent {
  enum Value : uint8_t {
    Announce,
    Tick,
    Drain,
    DrainAll,
    Heartbeat,
    Leave,
    Leaving,
    Restore,
  };
};

/// What a restarted node knows of the departures that its earlier processes
/// have acknowledged.
enum class DepartureKnowledge : uint8_t {
  Complete,  ///< A peer remembers them.
  StoreOnly, ///< As the store holds them, which may have been away.
  Partial,   ///< The store is away, and no peer remembers them.
};

constexpr base::EnumName<DepartureKnowledge> DepartureKnowledgeNames[] = {
    {DepartureKnowledge::Complete, "complete"},
    {DepartureKnowledge::StoreOnly, "store-only"},
    {DepartureKnowledge::Partial, "partial"},
};

/// Leases of the targets behind one node. A target whose lease has lapsed gets
/// no new calls; when it resumes, its old epoch is refused with LeaseLapsed and
/// it must announce itself again first.
class TargetLeases {
public:
  static constexpr base::Duration DefaultLifetime = std::chrono::seconds(3);
  static constexpr size_t MaximumTargets = 256;
  static constexpr size_t MaximumDepartures = 32;

  explicit TargetLeases(trace::Recorder &recorder,
                        base::Duration lifetime = DefaultLifetime);

  /// Grants or renews a lease; fails with LeaseLapsed, or with PeerBusy if the
  /// node has MaximumTargets targets.
  std::optional<LeaseAnswer> announce(const Announcement &announcement,
                                      base::TimePoint now,
                                      base::LastReason &reason);

  /// Applies a heartbeat. One older than the latest changes nothing, and fails
  /// with LeaseLapsed if a later process of the target, or another target, has
  /// taken the address since. Fails with PeerBusy if the node has
  /// MaximumTargets targets.
  bool heartbeat(const Heartbeat &heartbeat, base::TimePoint now,
                 base::LastReason &reason);

  /// Records that a target has left; returns whether it was known. If it was
  /// not, later heartbeats of processes started at or before \p unixMs
  /// (milliseconds since 1970) do not add it.
  bool leave(std::string_view targetId, base::TimePoint now, uint64_t unixMs);

  /// Records that a target's process has stated on an answer that it is
  /// leaving: it is draining from now on, whatever it reports. Returns whether
  /// this is news; an unknown process, named by its epoch, changes nothing.
  bool leaving(std::string_view targetId, uint64_t epoch, base::TimePoint now);

  /// Returns the targets that have stated that they are leaving, the latest
  /// MaximumDepartures of them. Targets without an incarnation are not
  /// included, since another process of theirs cannot be told from the one that
  /// left.
  fleet::Departures departures() const;

  /// Begins to report ready targets as starting, until restoreEnded() is
  /// called: an earlier process of this node may have acknowledged that they
  /// are leaving. Milliseconds since 1970 tell when this process has started.
  void awaitRestore(uint64_t startedUnixMs);

  /// Ends the wait. Unless the departures are complete, a target that may have
  /// left before this process started is still reported as starting until it
  /// has proved that it is alive: by its heartbeats, or by proveAlive().
  void restoreEnded(DepartureKnowledge knowledge);

  /// Returns the targets that are reported as starting only because they may
  /// have left, if their own word is a proof: with StoreOnly, where it is
  /// unlikely that they have.
  std::vector<fleet::TargetRecord> inDoubt() const;

  /// Records that the process of a target with this epoch has stated, when
  /// asked, that it is not leaving. Returns whether this is news.
  bool proveAlive(std::string_view targetId, uint64_t epoch);

  /// A target that started less than this before the node's process cannot
  /// have left before it.
  static constexpr std::chrono::milliseconds MinTimeToLeave{2000};

  /// Applies the departures that an earlier process of this node has
  /// acknowledged. Their processes do not become ready again. Returns how many
  /// of them were news.
  size_t restore(const fleet::Departures &departures, base::TimePoint now);

  /// Lapses expired leases; returns true if the list of targets has changed.
  bool tick(base::TimePoint now);

  /// Marks one target or all targets as draining, for an operator's drain.
  void drain(std::string_view targetId);
  void drainAll();

  /// Sets the lifetime of leases granted from now on.
  void setLifetime(base::Duration lifetime) { Lifetime = lifetime; }

  /// Returns the targets with a valid lease, with their current state.
  std::vector<fleet::TargetRecord> current() const;

  /// How long the gate still accepts calls for a target that has started to
  /// leave: they were in transit when the other nodes were informed.
  static constexpr base::Duration DrainGracePeriod =
      std::chrono::milliseconds(400);

  /// Returns the same targets in the states that the gate in front of them is
  /// to use: a target that has started to leave accepts calls for
  /// DrainGracePeriod, and one drained together with its node accepts them for
  /// as long as they arrive. tick() returns true when a grace period ends.
  std::vector<fleet::TargetRecord> targetsForGate(base::TimePoint now) const;

private:
  struct Lease;
  std::optional<LeaseAnswer> grant(const Announcement &announcement,
                                   base::TimePoint now);
  std::optional<LeaseAnswer> decide(const Announcement &announcement,
                                    base::TimePoint now,
                                    base::LastReason &reason);
  bool applyHeartbeat(const Heartbeat &heartbeat, base::TimePoint now,
                      base::LastReason &reason);
  static fleet::TargetState statedState(const Lease &lease,
                                        fleet::TargetState reported);
  static void setState(Lease &lease, fleet::TargetState state,
                       base::TimePoint now);
  bool restoreOne(const std::string &targetId, uint64_t epoch,
                  base::TimePoint now);
  void recordUnknownLeave(std::string_view targetId, uint64_t unixMs);
  bool mayHaveLeft(const Lease &lease) const;
  fleet::TargetRecord reportedRecord(const Lease &lease) const;
  bool forgetLapsed();
  bool expireLeases(base::TimePoint now);

  struct Lease {
    fleet::TargetRecord Target;
    base::TimePoint ExpiresAt{};
    uint64_t Incarnation = 0;
    uint64_t Sequence = 0;
    uint64_t LeftUnixMs = 0; ///< Processes started at or before this have left.
    bool Lapsed = false;
    bool DrainedByOperator = false;
    bool IsLeaving = false; ///< Its process has stated so on an answer.
    LivenessProof Proof;
    /// While set, the gate accepts calls although the target is leaving.
    std::optional<base::TimePoint> AcceptsUntil;
  };
  std::map<std::string, Lease, std::less<>> Leases;
  bool AllDrained = false;
  bool IsAwaitingRestore = false;
  DepartureKnowledge Knowledge = DepartureKnowledge::Complete;
  uint64_t StartedUnixMs = 0; ///< Start of this process, if restored.
  base::Duration Lifetime;
  bool Changed = false; ///< A lease lapsed since the last tick.
  trace::Recorder *Record;
};

} // namespace radishcross::admission
