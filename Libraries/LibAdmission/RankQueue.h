#pragma once

#include <LibAdmission/AdmissionGate.h>
#include <LibAdmission/RankScheduler.h>
#include <LibBase/Clock.h>
#include <LibConfig/Rank.h>
#include <LibConfig/Resources.h>

#include <array>
#include <deque>
#include <optional>
#include <vector>

namespace radishcross::admission {

/// A call that waits for a slot.
struct WaitingCall {
  Ticket Call = 0;
  config::Rank CallRank = config::Rank::Background;
  base::TimePoint ArrivedAt{};
  base::TimePoint LatestStart{}; ///< A later start would miss its deadline.
  base::Duration Patience{};     ///< From its arrival to LatestStart.
  uint64_t Fingerprint = 0;
  base::Duration LatencyObjective{}; ///< 0: none.
  base::Duration Expected{};         ///< Expected slot time.
  base::Duration LinkTime{};         ///< For its answer, and those before it.
  bool IsNested = false;             ///< Made by work in progress elsewhere.
  bool CanGoElsewhere = false;       ///< See Arrival.
};

/// The bounded queue of one target. When it is full the oldest call of the
/// lowest rank is shed first. Each lower rank has a few reserved places,
/// without which it could not use its floor. A rank whose queue has not been
/// empty for OverloadAfter is overloaded: its newest call is served first, and
/// calls that have waited too long are refused at once, because their callers
/// are the least likely to still need an answer. Calls with a latency objective
/// are served in the order of their latest starts instead. Nested calls go
/// first within their rank.
class RankQueue {
public:
  static constexpr base::Duration OverloadAfter =
      std::chrono::milliseconds(100);

  void setLimits(const config::ServiceLimits &limits);

  /// Adds a call; returns the call that has to be refused instead, if any,
  /// which may be the same call.
  std::optional<WaitingCall> push(const WaitingCall &call);

  /// Returns the call of a rank that is to be served next, or null.
  const WaitingCall *next(config::Rank rank, base::TimePoint now) const;

  /// Removes and returns the call of a rank that is to be served next.
  std::optional<WaitingCall> pop(config::Rank rank, base::TimePoint now);

  /// Removes a call whose caller has disconnected; returns false if it is not
  /// queued.
  bool remove(Ticket call);

  /// Removes and returns the calls that can no longer be served in time. \p
  /// patience: how long a call of each rank may wait under overload.
  std::vector<WaitingCall>
  expire(const std::array<base::Duration, config::RankCount> &patience,
         base::TimePoint now);

  /// Removes and returns all calls.
  std::vector<WaitingCall> clear();

  RankFlags waiting() const;

  /// Returns the number of calls to be served before \p call, and their
  /// expected slot time.
  size_t callsBefore(const WaitingCall &call) const;
  base::Duration workBefore(const WaitingCall &call) const;
  size_t size() const { return Count; }
  uint32_t capacity() const { return Limits.QueueLength; }

private:
  struct RankLine {
    std::deque<WaitingCall> Calls; ///< Oldest first.
    base::TimePoint NonEmptySince{};
    size_t ReservedPlaces = 0;
  };
  template <typename Visit>
  void visitBefore(const WaitingCall &call, Visit visit) const;
  bool overloaded(const RankLine &line, base::TimePoint now) const;
  RankLine &lineFor(config::Rank rank) {
    return Lines[static_cast<size_t>(rank)];
  }

  config::ServiceLimits Limits;
  std::array<RankLine, config::RankCount> Lines;
  size_t Count = 0;
};

} // namespace radishcross::admission
