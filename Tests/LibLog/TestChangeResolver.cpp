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

constexpr base::Duration Timeout = 10s;

/// One change with its resolver, log and clock.
struct Change {
  base::ManualClock Time;
  log::FoldDriver Log;
  log::Record What = log::publish("p1", "a", 0, log::contentOf({"s"}, {}));
  ChangeResolver Resolver{"p1", 1, Time.now(), Time.now() + Timeout, 7};

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
  /// Advances the clock to WakeAt and returns the time waited.
  base::Duration sleep() {
    auto wait = Resolver.step().WakeAt - Time.now();
    Time.advance(wait);
    Resolver.wake(Time.now());
    return wait;
  }
};

} // namespace

TEST_CASE("an accepted append ends with the outcome in the fold") {
  Change change;
  REQUIRE(change.Resolver.step().What == Kind::Append);
  CHECK(change.answer(AppendAnswer::Kind::Accepted).What == Kind::Wait);
  CHECK(change.fold().What == Kind::Wait);
  change.Log.append(change.What);
  const auto &last = change.fold();
  CHECK(last.What == Kind::Finish);
  CHECK(last.Status == ChangeStatus::Accepted);
  CHECK(last.Outcome.Version == 1);
  CHECK(last.Outcome.At == 1);
}

TEST_CASE("lost answer: the append is repeated and applied once") {
  Change change;
  change.Log.append(change.What);
  CHECK(change.answer(AppendAnswer::Kind::Unknown).What == Kind::Wait);
  CHECK(change.sleep() <= 200ms);
  CHECK(change.Resolver.step().What == Kind::Append);
  change.Log.append(change.What);
  change.answer(AppendAnswer::Kind::Accepted);
  CHECK(change.fold().Status == ChangeStatus::Accepted);
  CHECK(change.Log.State.configurations().at("a").Versions.size() == 1);
  // A late answer changes nothing.
  CHECK(change.answer(AppendAnswer::Kind::Refused).Status ==
        ChangeStatus::Accepted);
}

TEST_CASE("lost answer: a rejection by the fold is reported with its code") {
  Change change;
  change.Log.append(log::publish("p0", "a", 0, log::contentOf({}, {})));
  change.answer(AppendAnswer::Kind::Unknown);
  change.Log.append(change.What);
  const auto &last = change.fold();
  CHECK(last.Status == ChangeStatus::Rejected);
  CHECK(last.Outcome.Code == ResultCode::StaleBase);
  CHECK(last.Outcome.WinnerAt == 1);
}

TEST_CASE("a change that cannot be appended fails before the deadline") {
  Change change;
  base::Duration spent{};
  while (
      change
          .answer(AppendAnswer::Kind::Refused, ResultCode::PlatformUnavailable)
          .What != Kind::Finish)
    spent += change.sleep();
  CHECK(spent < Timeout / 2);
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
  CHECK(spent < Timeout);
}

TEST_CASE("the deadline ends the wait for an outcome") {
  Change change;
  change.answer(AppendAnswer::Kind::Accepted);
  CHECK(change.sleep() == Timeout);
  CHECK(change.Resolver.step().Status == ChangeStatus::Unknown);
}

TEST_CASE("chunks are appended in order, each until it is accepted") {
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
