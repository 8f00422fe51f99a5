#pragma once

#include <LibAdmission/TargetGate.h>
#include <LibBase/Random.h>
#include <LibCalls/CallFixtures.h>
#include <LibCalls/CallPlanner.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace radishcross::calls::testing {

/// Callers' planners and targets behind their gates, on a manual clock. The
/// calls may be repeated, and each may have two attempts in flight.
class HedgedFleet {
public:
  struct Settings {
    size_t Callers = 20;
    size_t Targets = 36;
    base::Duration Interval = 1'200us; ///< Between calls of all callers.
    base::Duration Warm = 15s;         ///< Not counted in the totals.
    base::Duration Length = 15s;
    balance::HedgeSettings Hedges = {};
    /// Time that a call takes at a target from a moment on; negative: it is
    /// never answered.
    std::function<base::Duration(size_t target, base::Duration now,
                                 base::Random &draw)>
        Work;
    uint64_t Seed = 1;
  };
  struct Start {
    base::Duration At{};
    bool IsHedge = false;
  };
  struct Totals {
    uint64_t Calls = 0;
    uint64_t Answered = 0;
    std::vector<int64_t> Latencies; ///< Of answered calls, microseconds.
    std::vector<Start> Starts;      ///< Of all attempts, warming included.
    balance::HedgeCounts Counts;    ///< Of all callers.

    int64_t quantile(size_t permille) {
      const auto n = Latencies.size() * permille / 1000;
      const auto it = Latencies.begin() + static_cast<ptrdiff_t>(n);
      std::nth_element(Latencies.begin(), it, Latencies.end());
      return *it;
    }
    auto slowerThan(base::Duration bound) const {
      return std::count_if(Latencies.begin(), Latencies.end(),
                           [&](int64_t it) { return it > bound.count(); });
    }
    uint64_t hedgesBetween(base::Duration from, base::Duration to) const {
      return static_cast<uint64_t>(
          std::count_if(Starts.begin(), Starts.end(), [&](const Start &it) {
            return it.IsHedge && it.At >= from && it.At < to;
          }));
    }
  };

  explicit HedgedFleet(Settings settings)
      : Model(std::move(settings)), Draw(Model.Seed) {
    std::vector<fleet::Member> members;
    for (size_t n = 0; n < Model.Targets; ++n) {
      members.push_back(member("n" + std::to_string(n)));
      members.back().Targets.front().Slots = Slots;
      Gates.push_back(std::make_unique<admission::TargetGate>("t", Recorder));
      admission::TargetGateSettings gate;
      gate.State = TargetState::Ready;
      gate.Slots = Slots;
      gate.Connections = 120;
      Gates.back()->configure(gate, at(0s));
    }
    RetryLimits retries;
    retries.RatioPermille = 200;
    for (size_t n = 0; n < Model.Callers; ++n) {
      Planners.push_back(
          std::make_unique<CallPlanner>(balance::Locality{"dc1", "south"},
                                        Model.Seed + n, Recorder, retries));
      Planners.back()->limitHedges(Model.Hedges);
      Planners.back()->membersChanged(members, at(0s));
    }
  }

  /// When the first call begins: after the slow start.
  static constexpr base::Duration Begin = 1min;

  Totals run() {
    Now = Begin;
    const auto end = Now + Model.Warm + Model.Length;
    scheduleCall();
    scheduleTick();
    while (Events.begin()->first < end) {
      const auto event = Events.extract(Events.begin());
      Now = event.key();
      event.mapped()();
    }
    for (const auto &planner : Planners)
      for (const auto &[service, counts] : planner->hedgeCounts()) {
        Sum.Counts.Started += counts.Started;
        Sum.Counts.Won += counts.Won;
        Sum.Counts.Lost += counts.Lost;
        for (size_t n = 0; n < counts.NotStarted.size(); ++n)
          Sum.Counts.NotStarted.at(n) += counts.NotStarted.at(n);
      }
    return Sum;
  }

private:
  static constexpr uint32_t Slots = 6;
  static constexpr base::Duration Deadline = 2s;
  static constexpr base::Duration Objective = 500ms;
  static constexpr base::Duration Hop = 1ms;

  struct Call {
    size_t Caller = 0;
    base::Duration BegunAt{};
  };
  struct Attempt {
    CallHandle Of = 0;
    uint32_t Number = 0;
    size_t Gate = 0;
    bool HasArrived = false;
    bool IsRunning = false;
    base::Duration Remaining{};
    base::Duration Expected{};
  };

  void after(base::Duration wait, std::function<void()> action) {
    Events.emplace(Now + wait, std::move(action));
  }

  void scheduleTick() {
    after(10ms, [this] {
      scheduleTick();
      for (auto &it : Gates)
        take(it->tick(at(Now)));
      for (const auto &it : Planners)
        it->tick(at(Now));
    });
  }

  void scheduleCall() {
    after(Model.Interval, [this] {
      scheduleCall();
      const auto handle = ++Last;
      auto &call = Calls[handle];
      call = {Draw.below(Model.Callers), Now};
      Sum.Calls += Now >= Begin + Model.Warm ? 1 : 0;
      RoutedCall route{std::string(Lookup), Rank::Standard, Deadline, true};
      route.LatencyObjective = Objective;
      route.RouteName = "lookup";
      carryOut(handle, Planners[call.Caller]->begin(handle, route, at(Now)));
    });
  }

  void carryOut(CallHandle handle, const CallStep &step) {
    if (step.What == CallStep::Kind::Await)
      return;
    if (step.What == CallStep::Kind::Finish) {
      finish(handle, step);
      return;
    }
    const auto ticket = ++Last;
    Attempts[ticket] = {
        handle, step.Attempt, std::stoul(step.To.Node.substr(1)),
        false,  false,        step.Remaining,
        {}};
    Sum.Starts.push_back({Now, step.Hedge == HedgeCause::Late});
    after(Hop, [this, ticket] { arrive(ticket); });
    after(step.AttemptTimeout,
          [this, ticket] { reply(ticket, ends(AttemptEnd::TimedOut)); });
    if (step.HedgeAfter > 0s)
      askLater(handle, step.HedgeAfter);
  }

  void askLater(CallHandle handle, base::Duration wait) {
    after(wait, [this, handle, wait] {
      const auto it = Calls.find(handle);
      if (it == Calls.end())
        return;
      if (auto step = Planners[it->second.Caller]->hedge(handle, at(Now)))
        carryOut(handle, *step);
      else
        askLater(handle, wait);
    });
  }

  void finish(CallHandle handle, const CallStep &step) {
    const auto call = Calls.extract(handle).mapped();
    if (call.BegunAt >= Begin + Model.Warm &&
        step.Outcome == CallOutcome::Answered) {
      ++Sum.Answered;
      Sum.Latencies.push_back((Now - call.BegunAt).count());
    }
    Planners[call.Caller]->end(handle, at(Now));
    for (const auto &[ticket, attempt] : Attempts)
      if (attempt.Of == handle)
        after(Hop, [this, ticket = ticket] { cancel(ticket); });
  }

  /// Ends an attempt of which the answer is no longer awaited.
  void cancel(uint64_t ticket) {
    const auto it = Attempts.find(ticket);
    if (it == Attempts.end())
      return;
    const auto attempt = it->second;
    Attempts.erase(it);
    if (attempt.IsRunning)
      take(Gates[attempt.Gate]->ended(ticket, AttemptEnd::CallerGone, at(Now),
                                      balance::RefusalKind::Full));
    else if (attempt.HasArrived)
      Gates[attempt.Gate]->abandoned(ticket, at(Now));
  }

  void arrive(uint64_t ticket) {
    const auto it = Attempts.find(ticket);
    if (it == Attempts.end())
      return;
    auto &attempt = it->second;
    attempt.HasArrived = true;
    const auto answer = Gates[attempt.Gate]->arrive(
        ticket, Rank::Standard, attempt.Remaining, 0, at(Now), Objective);
    attempt.Expected = answer.Found.Expected;
    if (answer.What != admission::GateAnswer::Kind::Queued)
      take({answer});
  }

  void take(const std::vector<admission::GateAnswer> &answers) {
    for (const auto &it : answers) {
      if (it.What != admission::GateAnswer::Kind::Run) {
        auto result = ends(AttemptEnd::RefusedNotRun, it.Code);
        result.RetryAfter = it.RetryAfter;
        reply(it.Call, result);
        continue;
      }
      auto &attempt = Attempts.at(it.Call);
      attempt.IsRunning = true;
      const auto work = Model.Work(attempt.Gate, Now, Draw);
      if (work >= 0s)
        after(work, [this, ticket = it.Call] {
          reply(ticket, ends(AttemptEnd::Answered));
        });
    }
  }

  /// Ends an attempt at its target and at its caller.
  void reply(uint64_t ticket, AttemptResult result) {
    const auto it = Attempts.find(ticket);
    if (it == Attempts.end())
      return;
    const auto attempt = it->second;
    auto &gate = *Gates[attempt.Gate];
    Attempts.erase(it);
    std::vector<admission::GateAnswer> next;
    if (attempt.IsRunning)
      next = gate.ended(ticket, result.End, at(Now), result.Refusal);
    result.Attempt = attempt.Number;
    result.PressurePermille = gate.pressurePermille(at(Now));
    result.ExpectedTime = attempt.Expected;
    after(Hop, [this, handle = attempt.Of, result] {
      const auto call = Calls.find(handle);
      if (call != Calls.end())
        carryOut(handle, Planners[call->second.Caller]->attemptEnded(
                             handle, result, at(Now)));
    });
    take(next);
  }

  Settings Model;
  base::Random Draw;
  trace::NullRecorder Recorder;
  std::vector<std::unique_ptr<admission::TargetGate>> Gates;
  std::vector<std::unique_ptr<CallPlanner>> Planners;
  std::multimap<base::Duration, std::function<void()>> Events;
  std::unordered_map<CallHandle, Call> Calls;
  std::map<uint64_t, Attempt> Attempts;
  uint64_t Last = 0;
  base::Duration Now{};
  Totals Sum;
};

} // namespace radishcross::calls::testing
