#include <LibLog/ChangeResolver.h>

#include <algorithm>
#include <utility>

namespace radishcross::log {

namespace {

using base::ResultCode;

constexpr uint32_t MaximumAttempts = 4;
constexpr base::Duration FirstBackoff = std::chrono::milliseconds(100);
constexpr base::Duration LongestBackoff = std::chrono::seconds(2);

/// Time to wait for an outcome in the fold after the last append was given up.
constexpr base::Duration LostAnswerWait = std::chrono::seconds(1);
constexpr base::Duration ClientRetryAfter = std::chrono::seconds(5);

} // namespace

ChangeResolver::ChangeResolver(std::string recordId, size_t pieces,
                               base::TimePoint now, base::TimePoint deadline,
                               uint64_t seed)
    : Id(std::move(recordId)), Pieces(pieces), Deadline(deadline),
      Jitter(seed) {
  if (Pieces == 0)
    finish(ChangeStatus::Rejected, ResultCode::RecordTooLarge,
           "the record is larger than the limit for chunked records");
  else if (now >= Deadline)
    finish(ChangeStatus::Rejected, ResultCode::DeadlineExceeded,
           "the deadline had passed before the append");
  else
    append();
}

void ChangeResolver::append() {
  Next = {};
  Next.What = ChangeStep::Kind::Append;
  Next.Piece = AppendedPieces;
  ++Attempts;
}

void ChangeResolver::waitUntil(base::TimePoint at) {
  Next = {};
  Next.What = ChangeStep::Kind::Wait;
  Next.WakeAt = std::min(at, Deadline);
}

void ChangeResolver::finish(ChangeStatus status, ResultCode code,
                            std::string reason) {
  Next = {};
  Next.What = ChangeStep::Kind::Finish;
  Next.Status = status;
  Next.Outcome.RecordId = Id;
  Next.Outcome.Code = code;
  Next.Outcome.Reason = std::move(reason);
  bool shouldRetry = status == ChangeStatus::Unknown ||
                     code == ResultCode::PlatformUnavailable;
  Next.RetryAfter = shouldRetry ? ClientRetryAfter : base::Duration{};
}

base::Duration ChangeResolver::backoff() {
  auto longest = std::min(LongestBackoff, FirstBackoff * (1U << Attempts));
  auto half = longest.count() / 2;
  return base::Duration(half + static_cast<int64_t>(Jitter.below(half + 1)));
}

void ChangeResolver::handleFailure(base::TimePoint now) {
  if (Attempts < MaximumAttempts && now < Deadline) {
    waitUntil(now + backoff());
    return;
  }
  HasGivenUp = true;
  if (MayBeInLog)
    waitUntil(now + LostAnswerWait);
  else
    finish(ChangeStatus::Rejected, ResultCode::PlatformUnavailable,
           "the platform accepted no append; nothing was changed");
}

const ChangeStep &ChangeResolver::appendEnded(const AppendAnswer &answer,
                                              base::TimePoint now) {
  if (Next.What != ChangeStep::Kind::Append)
    return Next;
  switch (answer.Outcome) {
  case AppendAnswer::Kind::Accepted:
    ++AppendedPieces;
    Attempts = 0;
    MayBeInLog = true;
    if (AppendedPieces < Pieces)
      append();
    else
      waitUntil(Deadline);
    break;
  case AppendAnswer::Kind::Unknown:
    MayBeInLog = true;
    handleFailure(now);
    break;
  case AppendAnswer::Kind::Refused:
    if (answer.Reason.code() == ResultCode::PlatformUnavailable)
      handleFailure(now);
    else
      finish(MayBeInLog ? ChangeStatus::Unknown : ChangeStatus::Rejected,
             answer.Reason.code(), answer.Reason.text());
    break;
  }
  return Next;
}

const ChangeStep &ChangeResolver::foldAdvanced(const Fold &fold,
                                               base::TimePoint) {
  if (Next.What == ChangeStep::Kind::Finish)
    return Next;
  auto outcome = fold.outcomeOf(Id);
  if (!outcome)
    return Next;
  auto status = outcome->Code == ResultCode::Ok ? ChangeStatus::Accepted
                                                : ChangeStatus::Rejected;
  finish(status, outcome->Code, outcome->Reason);
  Next.Outcome = std::move(*outcome);
  return Next;
}

const ChangeStep &ChangeResolver::wake(base::TimePoint now) {
  if (Next.What != ChangeStep::Kind::Wait || now < Next.WakeAt)
    return Next;
  bool allAppended = AppendedPieces == Pieces;
  if (now < Deadline && !HasGivenUp && !allAppended) {
    append();
    return Next;
  }
  if (MayBeInLog)
    finish(
        ChangeStatus::Unknown, ResultCode::OutcomeUnknown,
        allAppended
            ? "the record is in the log, but this node has not applied it yet"
            : "the answer to the append was lost; query the outcome by "
              "the record's id");
  else
    finish(ChangeStatus::Rejected, ResultCode::PlatformUnavailable,
           "the platform accepted no append; nothing was changed");
  return Next;
}

} // namespace radishcross::log
