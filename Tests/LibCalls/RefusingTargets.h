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

/// Callers' planners and targets behind their gates, on a manual clock. Each
/// target refuses a part of the calls at random with slots free.
class RefusingTargets {
public:
  struct Settings {
    size_t Callers = 20;
    size_t Targets = 24;
    uint32_t Slots = 6;
    uint64_t RefusedPercent = 55;
    /// Targets from this one on refuse nothing.
    size_t Refusing = 24;
    bool StatesLoad = true;
    base::Duration Interval = 833us; ///< Between calls of all callers.
    base::Duration Work = 100ms;
    base::Duration Length = 12s;
    uint64_t Seed = 1;
    /// Time that work takes at the targets in turn, in percent of Work.
    std::vector<int64_t> Speeds = {100};
    /// Every sixth target takes three times as long in every second Noise.
    base::Duration Noise{};
    bool StatesTime = true; ///< The gates tell the time of calls.
  };
  struct Totals {
    uint64_t Calls = 0;
    uint64_t Answered = 0; ///< Within the objective.
    uint64_t Arrivals = 0; ///< Requests that reached a target.
    uint64_t Refused = 0;  ///< By a target.
    uint64_t RefusedAtGates = 0;
    std::vector<int64_t> Latencies; ///< Of answered calls, microseconds.

    int64_t mean() const {
      int64_t sum = 0;
      for (const auto it : Latencies)
        sum += it;
      return sum / std::max<int64_t>(static_cast<int64_t>(Latencies.size()), 1);
    }
    int64_t percentile99() {
      const auto it = Latencies.begin() +
                      static_cast<ptrdiff_t>(Latencies.size() * 99 / 100);
      std::nth_element(Latencies.begin(), it, Latencies.end());
      return *it;
    }
  };

  explicit RefusingTargets(const Settings &settings)
      : Model(settings), Draw(settings.Seed) {
    std::vector<fleet::Member> members;
    for (size_t n = 0; n < Model.Targets; ++n) {
      members.push_back(member("n" + std::to_string(n)));
      members.back().Targets.front().Slots = Model.Slots;
      Gates.push_back(std::make_unique<admission::TargetGate>("t", Recorder));
      admission::TargetGateSettings gate;
      gate.State = TargetState::Ready;
      gate.Slots = Model.Slots;
      gate.Connections = 120;
      Gates.back()->configure(gate, at(0s));
    }
    RetryLimits retries;
    retries.RatioPermille = RetryPermille;
    retries.Slack = RetrySlack;
    for (size_t n = 0; n < Model.Callers; ++n) {
      Planners.push_back(
          std::make_unique<CallPlanner>(balance::Locality{"dc1", "south"},
                                        Model.Seed + n, Recorder, retries));
      Planners.back()->membersChanged(members, at(0s));
      Planners.back()->nodesChanged(static_cast<int64_t>(Model.Callers),
                                    at(0s));
    }
  }

  static constexpr int64_t RetryPermille = 200;
  static constexpr int64_t RetrySlack = 40;

  Totals run() {
    // Later than the slow start.
    Now = 1min;
    const auto end = Now + Model.Length;
    scheduleCall();
    scheduleTick();
    while (Events.begin()->first < end) {
      const auto event = Events.extract(Events.begin());
      Now = event.key();
      event.mapped()();
    }
    return Sum;
  }

private:
  static constexpr base::Duration Objective = 500ms;
  static constexpr base::Duration Deadline = 2s;
  static constexpr base::Duration Hop = 1ms;

  struct Call {
    size_t Caller = 0;
    base::Duration BegunAt{};
    CallStep Step;
    base::Duration Expected{}; ///< As the gate told.
  };

  void after(base::Duration wait, std::function<void()> action) {
    Events.emplace(Now + wait, std::move(action));
  }

  void scheduleTick() {
    after(10ms, [this] {
      scheduleTick();
      for (size_t n = 0; n < Gates.size(); ++n)
        take(n, Gates[n]->tick(at(Now)));
      for (const auto &it : Planners)
        it->tick(at(Now));
    });
  }

  void scheduleCall() {
    after(Model.Interval, [this] {
      scheduleCall();
      const auto handle = ++Last;
      auto &call = Calls[handle];
      call.Caller = Draw.below(Model.Callers);
      call.BegunAt = Now;
      ++Sum.Calls;
      RoutedCall route{std::string(Lookup), Rank::Standard, Deadline};
      route.LatencyObjective = Objective;
      carryOut(handle, Planners[call.Caller]->begin(handle, route, at(Now)));
    });
  }

  void carryOut(CallHandle handle, const CallStep &step) {
    auto &call = Calls.at(handle);
    if (step.What == CallStep::Kind::Send) {
      call.Step = step;
      after(Hop, [this, handle] { arrive(handle); });
      return;
    }
    const bool isAnswered = step.Outcome == CallOutcome::Answered;
    if (isAnswered)
      Sum.Latencies.push_back((Now - call.BegunAt).count());
    if (isAnswered && Now - call.BegunAt <= Objective)
      ++Sum.Answered;
    Planners[call.Caller]->end(handle, at(Now));
    Calls.erase(handle);
  }

  size_t gateOf(CallHandle handle) const {
    return std::stoul(Calls.at(handle).Step.To.Node.substr(1));
  }

  void arrive(CallHandle handle) {
    const auto gate = gateOf(handle);
    const auto answer = Gates[gate]->arrive(handle, Rank::Standard,
                                            Calls.at(handle).Step.Remaining, 0,
                                            at(Now), Objective);
    Calls.at(handle).Expected = answer.Found.Expected;
    if (answer.What != admission::GateAnswer::Kind::Queued)
      take(gate, {answer});
  }

  void take(size_t gate, const std::vector<admission::GateAnswer> &answers) {
    for (const auto &it : answers) {
      if (it.What == admission::GateAnswer::Kind::Run) {
        runAtTarget(gate, it.Call);
        continue;
      }
      auto result = ends(AttemptEnd::RefusedNotRun, it.Code);
      ++Sum.RefusedAtGates;
      result.RetryAfter = it.RetryAfter;
      reply(gate, it.Call, result);
    }
  }

  base::Duration workAt(size_t gate) {
    const auto drawn =
        Model.Work / 2 +
        Model.Work * static_cast<int64_t>(Draw.below(1000)) / 1000;
    const bool isNoisy =
        Model.Noise > 0s && gate % 6 == 0 && Now / Model.Noise % 2 == 0;
    return drawn * Model.Speeds[gate % Model.Speeds.size()] / 100 *
           (isNoisy ? 3 : 1);
  }

  void runAtTarget(size_t gate, CallHandle handle) {
    ++Sum.Arrivals;
    const bool refuses =
        gate < Model.Refusing && Draw.below(100) < Model.RefusedPercent;
    if (!refuses) {
      after(workAt(gate), [this, gate, handle] {
        end(gate, handle, ends(AttemptEnd::Answered));
      });
      return;
    }
    ++Sum.Refused;
    after(Hop, [this, gate, handle] {
      auto result = ends(AttemptEnd::RefusedNotRun, ResultCode::TargetRefused);
      std::optional<balance::TargetLoad> load;
      if (Model.StatesLoad)
        load = balance::TargetLoad{
            static_cast<uint32_t>(Gates[gate]->running()) - 1, 0, Model.Slots,
            std::nullopt};
      result.Refusal = Gates[gate]->judgeRefusal(load, at(Now));
      end(gate, handle, result);
    });
  }

  void end(size_t gate, CallHandle handle, const AttemptResult &result) {
    const auto answers =
        Gates[gate]->ended(handle, result.End, at(Now), result.Refusal);
    reply(gate, handle, result);
    take(gate, answers);
  }

  void reply(size_t gate, CallHandle handle, AttemptResult result) {
    result.PressurePermille = Gates[gate]->pressurePermille(at(Now));
    if (Model.StatesTime)
      result.ExpectedTime = Calls.at(handle).Expected;
    after(Hop, [this, handle, result] {
      const auto &planner = Planners[Calls.at(handle).Caller];
      carryOut(handle, planner->attemptEnded(handle, result, at(Now)));
    });
  }

  Settings Model;
  base::Random Draw;
  trace::NullRecorder Recorder;
  std::vector<std::unique_ptr<admission::TargetGate>> Gates;
  std::vector<std::unique_ptr<CallPlanner>> Planners;
  std::multimap<base::Duration, std::function<void()>> Events;
  std::unordered_map<CallHandle, Call> Calls;
  CallHandle Last = 0;
  base::Duration Now{};
  Totals Sum;
};

} // namespace radishcross::calls::testing
