#pragma once

#include <LibBase/Clock.h>
#include <LibBase/LastReason.h>
#include <LibFleet/Member.h>
#include <LibTrace/Recorder.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace radishcross::calls {

/// What a target sends to its node at its start and as a heartbeat.
struct Announcement {
  fleet::TargetRecord Target; ///< Epoch: the last one granted, 0 at first.
};

/// What a target sends at intervals without holding an epoch: its process and
/// a number that grows tell later news from earlier.
struct Heartbeat {
  fleet::TargetRecord Target; ///< Epoch: not used.
  uint64_t Incarnation = 0;   ///< Of the target's process; grows.
  uint64_t Sequence = 0;      ///< Grows within an incarnation.
};

/// What the node answers to an announcement.
struct LeaseAnswer {
  uint64_t Epoch = 0;
  base::Duration Lifetime{};
};

/// Events of a trace's entries. Announce has the numbers epoch, state, slots,
/// connections, load, lifetime and decides the granted epoch or the code of the
/// refusal; Tick decides 1. The text is the target. Heartbeat has the numbers
/// incarnation, sequence, state, slots, lifetime and the text "ADDRESS TARGET",
/// and decides the code of the refusal. The lifetime is that of the leases
/// granted then, in microseconds; 0 where an older program did not say it.
/// Leave has the time in milliseconds since 1970 and decides 1 where the target
/// is known.
struct LeaseEvent {
  enum Value : uint8_t { Announce, Tick, Drain, DrainAll, Heartbeat, Leave };
};

/// Leases of the announcements of the targets behind one node. A target whose
/// lease has lapsed is no longer offered work; when it wakes, its old epoch is
/// refused with LeaseLapsed and it must announce anew before it takes work.
class TargetLeases {
public:
  static constexpr base::Duration DefaultLifetime = std::chrono::seconds(3);
  static constexpr size_t MaximumTargets = 256;

  explicit TargetLeases(trace::Recorder &recorder,
                        base::Duration lifetime = DefaultLifetime);

  /// Grants or renews a lease; fails with LeaseLapsed, or with PeerBusy when
  /// the node has as many targets as it may.
  std::optional<LeaseAnswer> announce(const Announcement &announcement,
                                      base::TimePoint now,
                                      base::LastReason &reason);

  /// Takes a heartbeat; one that is older than what is known changes nothing,
  /// and fails with LeaseLapsed where another process of the target, or
  /// another target, has taken the address since. Fails with PeerBusy when the
  /// node has as many targets as it may.
  bool heartbeat(const Heartbeat &heartbeat, base::TimePoint now,
                 base::LastReason &reason);

  /// Notes that a target has left; returns whether it was known. Of one that
  /// was not, no heartbeat of a process that had started by \p unixMs
  /// (milliseconds since 1970) brings it back.
  bool leave(std::string_view targetId, base::TimePoint now, uint64_t unixMs);

  /// Drops lapsed leases; returns true when the list of targets changed.
  bool tick(base::TimePoint now);

  /// Marks one target, or all, as draining; used by an operator's drain.
  void drain(std::string_view targetId);
  void drainAll();

  /// Sets how long leases granted from now on last.
  void setLifetime(base::Duration lifetime) { Lifetime = lifetime; }

  /// Returns the targets whose lease holds, with their current state.
  std::vector<fleet::TargetRecord> current() const;

  /// How long the gate still takes calls for a target that has begun to leave:
  /// they were on the way when the other nodes were told.
  static constexpr base::Duration DrainGracePeriod =
      std::chrono::milliseconds(400);

  /// Returns the same as the gate in front of them shall see it: a target that
  /// has begun to leave takes work for DrainGracePeriod, and one that is
  /// drained for its node's sake for as long as calls come. tick() tells of the
  /// end.
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
  static void setState(Lease &lease, fleet::TargetState state,
                       base::TimePoint now);
  void recordUnknownLeave(std::string_view targetId, uint64_t unixMs);
  bool forgetLapsed();
  bool expireLeases(base::TimePoint now);

  struct Lease {
    fleet::TargetRecord Target;
    base::TimePoint ExpiresAt{};
    uint64_t Incarnation = 0;
    uint64_t Sequence = 0;
    uint64_t LeftUnixMs = 0; ///< Processes started by then have left.
    bool Lapsed = false;
    bool DrainedByOperator = false;
    /// While set, the gate takes work although the target leaves.
    std::optional<base::TimePoint> AcceptsUntil;
  };
  std::map<std::string, Lease, std::less<>> Leases;
  bool AllDrained = false;
  base::Duration Lifetime;
  bool Changed = false; ///< A lease lapsed since the last tick.
  trace::Recorder *Record;
};

} // namespace radishcross::calls
