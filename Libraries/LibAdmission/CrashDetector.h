#pragma once

#include <LibAdmission/AdmissionGate.h>
#include <LibBase/Clock.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace radishcross::admission {

/// Distinguishes crashes of one target from calls that break while it stays
/// alive, such as reset connections and malformed answers. A broken call counts
/// as a crash when the target's process turns out to be gone: it refuses
/// connections, its lease lapses, or another process replaces it. It does not
/// when a later call is answered or the target leaves gracefully.
///
/// Functions that return fingerprints return those of the requests that ran
/// when the call broke, once the crash is confirmed. Each process of a target
/// crashes at most once.
class CrashDetector {
public:
  /// A broken call that was not confirmed as a crash is forgotten after this
  /// time: the lease of a dead target (3 s) has lapsed by then, even if its
  /// last heartbeat arrived late.
  static constexpr base::Duration Lifetime = std::chrono::seconds(10);
  /// Broken calls and refused connections within this time are one event.
  static constexpr base::Duration EventWindow = std::chrono::seconds(1);

  /// Reports that a call broke while the requests with the fingerprints \p
  /// running ran; \p last is the last call that had arrived at the node.
  std::vector<uint64_t> callBroken(std::vector<uint64_t> running, Ticket last,
                                   base::TimePoint now);

  /// Reports that the target accepted no connection.
  std::vector<uint64_t> unreachable(Ticket last, base::TimePoint now);

  /// Reports that the lease lapsed or that another process holds it.
  std::vector<uint64_t> processGone(base::TimePoint now);

  /// Reports that the target answered. The answer to a call that arrived before
  /// the broken one proves nothing: it may already have been in transit.
  void answered(Ticket call);

  /// Forgets all, because the target leaves gracefully or a new process starts.
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

} // namespace radishcross::admission
