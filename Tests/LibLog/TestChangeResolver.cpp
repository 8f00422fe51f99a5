#include <LibLog/ChangeResolver.h>
#include <LibLog/FoldDriver.h>

#include <doctest/doctest.h>

using namespace radishcross;
using namespace std::chrono_literals;
using base::ResultCode;
using log::AppendAnswer;
using log::ChangeResolver;
using log::ChangeStatus;
using Kind = log::ChangeStep::Kind;

namespace {

constexpr base::Duration Patience = 10s;

/// One change and the clock it lives by.
struct Change {
  base::ManualClock Time;
  log::FoldDriver Log;
  log::Record What = log::publish("p1", "a", 0, log::contentOf({"s"}, {}));
  ChangeResolver Resolver{"p1", 1, Time.now(), Time.now() + Patience, 7};

  const log::ChangeStep &answer(AppendAnswer::Kind kind,
                                ResultCode code = ResultCode::Ok) {
    AppendAnswer answer;
    answer.Outcome = kind;
    answer.Reason.fail(code, "why");
    return Resolver.appendEnded(answer, Time.now());
  }
  const log::ChangeStep &fold() {
    return Resolver.foldAdvanced(Log.State, Time.now());
  }
  /// Moves the clock to the time asked for; returns how long that was.
  base::Duration sleep() {
    auto wait = Resolver.step().WakeAt - Time.now();
    Time.advance(wait);
    Resolver.wake(Time.now());
    return wait;
  }
};

} // namespace

TEST_CASE("an append that was answered ends with the fold's decision") {
  Change change;
  REQUIRE(change.Resolver.step().What == Kind::Append);
  CHECK(change.answer(AppendAnswer::Kind::Accepted).What == Kind::Wait);
  CHECK(change.fold().What == Kind::Wait);
  change.Log.append(change.What);
  const auto &end = change.fold();
  CHECK(end.What == Kind::Finish);
  CHECK(end.Status == ChangeStatus::Accepted);
  CHECK(end.Outcome.Version == 1);
  CHECK(end.Outcome.At == 1);
}

TEST_CASE("lost answer: the append is repeated and counts once") {
  Change change;
  change.Log.append(change.What);
  CHECK(change.answer(AppendAnswer::Kind::Unknown).What == Kind::Wait);
  CHECK(change.sleep() <= 200ms);
  CHECK(change.Resolver.step().What == Kind::Append);
  change.Log.append(change.What);
  change.answer(AppendAnswer::Kind::Accepted);
  CHECK(change.fold().Status == ChangeStatus::Accepted);
  CHECK(change.Log.State.configurations().at("a").Versions.size() == 1);
  // An answer that comes late changes nothing any more.
  CHECK(change.answer(AppendAnswer::Kind::Refused).Status ==
        ChangeStatus::Accepted);
}

TEST_CASE("lost answer: what the fold rejects is reported with its code") {
  Change change;
  change.Log.append(log::publish("p0", "a", 0, log::contentOf({}, {})));
  change.answer(AppendAnswer::Kind::Unknown);
  change.Log.append(change.What);
  const auto &end = change.fold();
  CHECK(end.Status == ChangeStatus::Rejected);
  CHECK(end.Outcome.Code == ResultCode::StaleBase);
  CHECK(end.Outcome.WinnerAt == 1);
}

TEST_CASE("a change that cannot be brought in is given up at once") {
  Change change;
  base::Duration spent{};
  while (
      change
          .answer(AppendAnswer::Kind::Refused, ResultCode::PlatformUnavailable)
          .What != Kind::Finish)
    spent += change.sleep();
  CHECK(spent < Patience / 2);
  CHECK(change.Resolver.step().Status == ChangeStatus::Rejected);
  CHECK(change.Resolver.step().Outcome.Code == ResultCode::PlatformUnavailable);
  CHECK(change.Resolver.step().RetryAfter > 0s);
  Change tooLarge;
  CHECK(tooLarge.answer(AppendAnswer::Kind::Refused, ResultCode::RecordTooLarge)
            .Outcome.Code == ResultCode::RecordTooLarge);
  ChangeResolver none("p1", 0, {}, base::TimePoint(1s), 1);
  CHECK(none.step().Status == ChangeStatus::Rejected);
}

TEST_CASE("one lost answer among refusals leaves the outcome unknown") {
  Change change;
  change.answer(AppendAnswer::Kind::Unknown);
  base::Duration spent{};
  while (change.Resolver.step().What != Kind::Finish) {
    spent += change.sleep();
    if (change.Resolver.step().What == Kind::Append)
      change.answer(AppendAnswer::Kind::Refused,
                    ResultCode::PlatformUnavailable);
  }
  CHECK(change.Resolver.step().Status == ChangeStatus::Unknown);
  CHECK(change.Resolver.step().Outcome.Code == ResultCode::OutcomeUnknown);
  CHECK(change.Resolver.step().Outcome.RecordId == "p1");
  CHECK(spent < Patience);
}

TEST_CASE("the deadline ends the wait for a decision") {
  Change change;
  change.answer(AppendAnswer::Kind::Accepted);
  CHECK(change.sleep() == Patience);
  CHECK(change.Resolver.step().Status == ChangeStatus::Unknown);
}

TEST_CASE("chunks are appended in order, each until it is answered") {
  ChangeResolver resolver("p1", 3, {}, base::TimePoint(60s), 1);
  AppendAnswer accepted;
  accepted.Outcome = AppendAnswer::Kind::Accepted;
  AppendAnswer lost;
  CHECK(resolver.step().Piece == 0);
  CHECK(resolver.appendEnded(accepted, {}).Piece == 1);
  CHECK(resolver.appendEnded(lost, {}).What == Kind::Wait);
  CHECK(resolver.wake(base::TimePoint(1s)).Piece == 1);
  CHECK(resolver.appendEnded(accepted, {}).Piece == 2);
  CHECK(resolver.appendEnded(accepted, {}).What == Kind::Wait);
}
