#include <LibLog/ChangeResolver.h>

#include <algorithm>
#include <utility>

namespace radishcross::log {

namespace {

using base::ResultCode;

constexpr uint32_t MaximumAttempts = 4;
constexpr base::Duration FirstBackoff = std::chrono::milliseconds(100);
constexpr base::Duration LongestBackoff = std::chrono::seconds(2);

/// How long the fold is watched after the last append whose answer was lost.
constexpr base::Duration SettleTime = std::chrono::seconds(1);
constexpr base::Duration ClientRetryAfter = std::chrono::seconds(5);

} // namespace

ChangeResolver::ChangeResolver(std::string recordId, size_t pieces,
                               base::TimePoint now, base::TimePoint deadline,
                               uint64_t seed)
    : Id(std::move(recordId)), Pieces(pieces), Deadline(deadline),
      Jitter(seed) {
  if (Pieces == 0)
    finish(ChangeEnd::Rejected, ResultCode::RecordTooLarge,
           "the record is over the limit even in chunks");
  else if (now >= Deadline)
    finish(ChangeEnd::Rejected, ResultCode::DeadlineExceeded,
           "the deadline had passed before the append");
  else
    append();
}

void ChangeResolver::append() {
  Next = {};
  Next.What = ChangeStep::Kind::Append;
  Next.Piece = Appended;
  ++Attempts;
}

void ChangeResolver::waitUntil(base::TimePoint at) {
  Next = {};
  Next.What = ChangeStep::Kind::Wait;
  Next.WakeAt = std::min(at, Deadline);
}

void ChangeResolver::finish(ChangeEnd end, ResultCode code,
                            std::string reason) {
  Next = {};
  Next.What = ChangeStep::Kind::Finish;
  Next.End = end;
  Next.Outcome.RecordId = Id;
  Next.Outcome.Code = code;
  Next.Outcome.Reason = std::move(reason);
  bool comeBack =
      end == ChangeEnd::Unknown || code == ResultCode::PlatformUnavailable;
  Next.RetryAfter = comeBack ? ClientRetryAfter : base::Duration{};
}

base::Duration ChangeResolver::backoff() {
  auto longest = std::min(LongestBackoff, FirstBackoff * (1U << Attempts));
  auto half = longest.count() / 2;
  return base::Duration(half + static_cast<int64_t>(Jitter.below(half + 1)));
}

void ChangeResolver::afterFailure(base::TimePoint now) {
  if (Attempts < MaximumAttempts && now < Deadline) {
    waitUntil(now + backoff());
    return;
  }
  GivenUp = true;
  if (MayBeInLog)
    waitUntil(now + SettleTime);
  else
    finish(ChangeEnd::Rejected, ResultCode::PlatformUnavailable,
           "the platform took no append; nothing was changed");
}

const ChangeStep &ChangeResolver::appendEnded(const AppendAnswer &answer,
                                              base::TimePoint now) {
  if (Next.What != ChangeStep::Kind::Append)
    return Next;
  switch (answer.Outcome) {
  case AppendAnswer::Kind::Accepted:
    ++Appended;
    Attempts = 0;
    MayBeInLog = true;
    if (Appended < Pieces)
      append();
    else
      waitUntil(Deadline);
    break;
  case AppendAnswer::Kind::Unknown:
    MayBeInLog = true;
    afterFailure(now);
    break;
  case AppendAnswer::Kind::Refused:
    if (answer.Reason.code() == ResultCode::PlatformUnavailable)
      afterFailure(now);
    else
      finish(MayBeInLog ? ChangeEnd::Unknown : ChangeEnd::Rejected,
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
  auto end = outcome->Code == ResultCode::Ok ? ChangeEnd::Accepted
                                             : ChangeEnd::Rejected;
  finish(end, outcome->Code, outcome->Reason);
  Next.Outcome = std::move(*outcome);
  return Next;
}

const ChangeStep &ChangeResolver::wake(base::TimePoint now) {
  if (Next.What != ChangeStep::Kind::Wait || now < Next.WakeAt)
    return Next;
  bool allAppended = Appended == Pieces;
  if (now < Deadline && !GivenUp && !allAppended) {
    append();
    return Next;
  }
  if (MayBeInLog)
    finish(ChangeEnd::Unknown, ResultCode::OutcomeUnknown,
           allAppended ? "the record is in the log and not yet decided here"
                       : "the append's answer was lost; ask again by the "
                         "record's id");
  else
    finish(ChangeEnd::Rejected, ResultCode::PlatformUnavailable,
           "the platform took no append; nothing was changed");
  return Next;
}

} // namespace radishcross::log
