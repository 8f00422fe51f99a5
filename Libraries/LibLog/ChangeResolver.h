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

/// Result of a change, as far as this node knows it.
enum class ChangeStatus : uint8_t { Accepted, Rejected, Unknown };

constexpr base::EnumName<ChangeStatus> ChangeStatusNames[] = {
    {ChangeStatus::Accepted, "accepted"},
    {ChangeStatus::Rejected, "rejected"},
    {ChangeStatus::Unknown, "unknown"},
};

/// The action that the caller of the resolver has to take next.
struct ChangeStep {
  enum class Kind : uint8_t {
    Append, ///< Append piece number Piece and report the answer.
    Wait,   ///< Call wake() at WakeAt unless an event comes first.
    Finish, ///< Status and Outcome are final.
  };
  Kind What = Kind::Wait;
  size_t Piece = 0;
  base::TimePoint WakeAt{};
  ChangeStatus Status = ChangeStatus::Unknown;
  RecordOutcome Outcome;
  base::Duration RetryAfter{}; ///< When a client may ask or retry; or 0.
};

/// Appends one change to the log and determines its outcome. An append whose
/// answer was lost is repeated with the same record id, which the fold applies
/// only once; the outcome that the fold has for that id is final. A change that
/// certainly is not in the log fails as soon as its attempts are used up,
/// without waiting for the deadline.
class ChangeResolver {
public:
  /// \p pieces is the number of records to append, in order; \p deadline limits
  /// the wait for the fold's decision.
  ChangeResolver(std::string recordId, size_t pieces, base::TimePoint now,
                 base::TimePoint deadline, uint64_t seed);

  /// Returns the step to take now.
  const ChangeStep &step() const { return Next; }

  /// Reports the answer to the append that the last step requested.
  const ChangeStep &appendEnded(const AppendAnswer &answer,
                                base::TimePoint now);

  /// Looks up the outcome of the change in \p fold.
  const ChangeStep &foldAdvanced(const Fold &fold, base::TimePoint now);

  /// Reports that WakeAt of a Wait step has been reached.
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
  size_t AppendedPieces = 0; ///< Pieces that the platform has accepted.
  uint32_t Attempts = 0;     ///< Of the current piece.
  bool MayBeInLog = false;
  bool HasGivenUp = false; ///< No append is retried.
};

} // namespace radishcross::log
