#pragma once

#include <LibBase/Clock.h>
#include <LibBase/EnumNames.h>
#include <LibBase/Random.h>
#include <LibLog/Fold.h>
#include <LibLog/PlatformClient.h>

#include <cstdint>
#include <optional>
#include <string>

namespace radishcross::log {

/// How a change ended, as far as this node can tell.
enum class ChangeStatus : uint8_t { Accepted, Rejected, Unknown };

constexpr base::EnumName<ChangeStatus> ChangeStatusNames[] = {
    {ChangeStatus::Accepted, "accepted"},
    {ChangeStatus::Rejected, "rejected"},
    {ChangeStatus::Unknown, "unknown"},
};

/// What the caller of the resolver has to do next.
struct ChangeStep {
  enum class Kind : uint8_t {
    Append, ///< Append piece Piece and report the answer.
    Wait,   ///< Call wake() at WakeAt, unless something happens before.
    Finish, ///< End and Outcome are final.
  };
  Kind What = Kind::Wait;
  size_t Piece = 0;
  base::TimePoint WakeAt{};
  ChangeStatus Status = ChangeStatus::Unknown;
  RecordOutcome Outcome;
  base::Duration RetryAfter{}; ///< When a client may ask or try again; or 0.
};

/// Brings one change into the log and finds out how it was decided. An append
/// whose answer was lost is repeated with the same record id, which counts
/// once, and the fold is watched for that id: what it says is final. A change
/// that cannot be brought in is given up at once and not at the deadline.
class ChangeResolver {
public:
  /// \p pieces is the number of records to append, in order; \p deadline ends
  /// the wait for the fold's decision.
  ChangeResolver(std::string recordId, size_t pieces, base::TimePoint now,
                 base::TimePoint deadline, uint64_t seed);

  /// Returns the step that is due.
  const ChangeStep &step() const { return Next; }

  /// Reports the answer to the append that the last step asked for.
  const ChangeStep &appendEnded(const AppendAnswer &answer,
                                base::TimePoint now);

  /// Looks for the decision in \p fold.
  const ChangeStep &foldAdvanced(const Fold &fold, base::TimePoint now);

  /// Reports that the time in Wait's WakeAt has come.
  const ChangeStep &wake(base::TimePoint now);

  const std::string &recordId() const { return Id; }

private:
  void append();
  void waitUntil(base::TimePoint at);
  void finish(ChangeStatus status, base::ResultCode code, std::string reason);
  void handleFailure(base::TimePoint now);
  base::Duration backoff();

  std::string Id;
  size_t Pieces;
  base::TimePoint Deadline;
  base::Random Jitter;
  ChangeStep Next;
  size_t AppendedPieces = 0; ///< Pieces that the platform has answered for.
  uint32_t Attempts = 0;     ///< Of the current piece.
  bool MayBeInLog = false;
  bool HasGivenUp = false; ///< No append is tried again.
};

} // namespace radishcross::log
