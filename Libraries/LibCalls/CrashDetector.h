#pragma once

#include <LibBase/Clock.h>
#include <LibCalls/AdmissionGate.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace radishcross::calls {

/// Tells crashes of one target from broken calls of one that lives on, such as
/// reset connections and unreadable answers. A break is a crash when the
/// target's process is gone next: it takes no connection, or its lease lapses,
/// or another process takes its place. It is none when a later call is answered
/// or the target leaves in order.
///
/// What accuses requests returns the fingerprints of those that ran when the
/// calls broke; each process of a target crashes once.
class CrashDetector {
public:
  /// A break that nothing was learnt of is forgotten: a dead target's lease
  /// (3 s) has lapsed by then, also where its last heartbeat came late.
  static constexpr base::Duration Lifetime = std::chrono::seconds(10);
  /// Breaks and refused connections this close together are one event.
  static constexpr base::Duration EventWindow = std::chrono::seconds(1);

  /// Takes that a call broke while \p running ran; \p last is the last call
  /// that had arrived at the node.
  std::vector<uint64_t> callBroken(std::vector<uint64_t> running, Ticket last,
                                   base::TimePoint now);

  /// Takes that the target took no connection.
  std::vector<uint64_t> unreachable(Ticket last, base::TimePoint now);

  /// Takes that the lease lapsed or that another process holds it.
  std::vector<uint64_t> processGone(base::TimePoint now);

  /// Takes that the target answered; one of a call that had arrived before the
  /// break may have been under way.
  void answered(Ticket call);

  /// Takes that the target leaves in order, or that a new process begins.
  void reset() { *this = {}; }

private:
  struct BrokenCall {
    std::vector<uint64_t> Running;
    base::TimePoint At{};
  };
  std::vector<uint64_t> confirmCrash(base::TimePoint now);

  std::optional<BrokenCall> Pending;
  std::optional<base::TimePoint> UnreachableAt;
  Ticket LastTicket = 0; ///< Later calls that are answered show that it lives.
  bool HasCrashed = false;
};

} // namespace radishcross::calls
