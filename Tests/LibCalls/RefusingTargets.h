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
    bool StatesTime = true;     ///< The gates tell the time of calls.
    bool TellsElsewhere = true; ///< The gates are told who can go elsewhere.
    bool StatesPace = false;    ///< Noise is stated as pace.
    /// Calls per Interval, in percent, in each second of a period.
    std::vector<int64_t> Rates = {100};
    bool HasTails = false; ///< Every 33rd piece of work takes seven times.
    /// Of the clients: repeat a refused call at once, up to 5 times. All others
    /// come back once, when they were told to.
    uint64_t ImpatientPercent = 0;
    bool ComesBack = false;
    /// Targets of a service below that each call calls once, for Work / 4,
    /// after its own work.
    size_t Below = 0;
  };
  struct Totals {
    uint64_t Calls = 0;
    uint64_t Answered = 0; ///< Within the objective.
    uint64_t Arrivals = 0; ///< Requests that reached a target.
    uint64_t Refused = 0;  ///< By a target.
    uint64_t RefusedAtGates = 0;
    uint64_t LostBelow = 0; ///< Run, and then without its call below.
    uint64_t Patient = 0;   ///< Calls of patient clients.
    uint64_t PatientAnswered = 0;
    base::Duration LongestRefusal{}; ///< Until a client was told.
    std::vector<int64_t> Latencies;  ///< Of answered calls, microseconds.

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
    for (size_t n = 0; n < Model.Targets + Model.Below; ++n) {
      members.push_back(member("n" + std::to_string(n)));
      members.back().Targets.front().Slots = Model.Slots;
      if (n >= Model.Targets)
        members.back().Targets.front().Service = BelowService;
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
  static constexpr base::Duration BelowObjective = 100ms;
  static constexpr base::Duration BelowDeadline = 300ms;
  static constexpr int MostRepeats = 5;
  static constexpr const char *BelowService = "badges/below";

  struct Call {
    size_t Caller = 0;
    base::Duration BegunAt{};
    CallStep Step;
    base::Duration Expected{}; ///< As the gate told.
    int RepeatsLeft = 0;
    bool IsPatient = true;
    bool IsLostBelow = false;
    CallHandle Above = 0; ///< The call that made it; 0: a client did.
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
    const auto second = static_cast<size_t>(Now / base::Duration(1s));
    const auto rate = Model.Rates[second % Model.Rates.size()];
    after(Model.Interval * 100 / rate, [this] {
      scheduleCall();
      Call call;
      call.IsPatient = Model.ImpatientPercent == 0 ||
                       Draw.below(100) >= Model.ImpatientPercent;
      call.BegunAt = Now;
      call.RepeatsLeft = !Model.ComesBack ? 0
                         : call.IsPatient ? 1
                                          : MostRepeats;
      ++Sum.Calls;
      Sum.Patient += call.IsPatient ? 1 : 0;
      begin(call);
    });
  }

  void begin(Call call) {
    const auto handle = ++Last;
    call.Caller = Draw.below(Model.Callers);
    Calls[handle] = call;
    const bool isBelow = call.Above != 0;
    RoutedCall route{isBelow ? BelowService : std::string(Lookup),
                     isBelow ? Rank::Background : Rank::Standard,
                     isBelow ? BelowDeadline : Deadline};
    route.LatencyObjective = isBelow ? BelowObjective : Objective;
    carryOut(handle, Planners[call.Caller]->begin(handle, route, at(Now)));
  }

  void carryOut(CallHandle handle, const CallStep &step) {
    auto &call = Calls.at(handle);
    if (step.What == CallStep::Kind::Send) {
      call.Step = step;
      after(Hop, [this, handle] { arrive(handle); });
      return;
    }
    Planners[call.Caller]->end(handle, at(Now));
    const auto ended = Calls.extract(handle).mapped();
    const bool isAnswered = step.Outcome == CallOutcome::Answered;
    if (ended.Above != 0) {
      endAbove(ended.Above, isAnswered);
      return;
    }
    if (isAnswered && !ended.IsLostBelow) {
      const bool isUseful = Now - ended.BegunAt <= Objective;
      Sum.Latencies.push_back((Now - ended.BegunAt).count());
      Sum.Answered += isUseful ? 1 : 0;
      Sum.PatientAnswered += isUseful && ended.IsPatient ? 1 : 0;
    } else if (!isAnswered) {
      Sum.LongestRefusal = std::max(Sum.LongestRefusal, Now - ended.BegunAt);
      comeBack(ended, step.RetryAfter);
    }
  }

  void comeBack(Call call, base::Duration retryAfter) {
    if (call.RepeatsLeft-- == 0)
      return;
    after(call.IsPatient ? retryAfter : Hop, [this, call] { begin(call); });
  }

  /// Goes on with a call whose call below has ended.
  void endAbove(CallHandle handle, bool isServed) {
    Calls.at(handle).IsLostBelow = !isServed;
    Sum.LostBelow += isServed ? 0 : 1;
    end(gateOf(handle), handle, ends(AttemptEnd::Answered));
  }

  size_t gateOf(CallHandle handle) const {
    return std::stoul(Calls.at(handle).Step.To.Node.substr(1));
  }

  void arrive(CallHandle handle) {
    const auto gate = gateOf(handle);
    const auto &call = Calls.at(handle);
    const bool isBelow = call.Above != 0;
    const auto answer =
        Gates[gate]->arrive(handle, call.Step.CallRank, call.Step.Remaining, 0,
                            at(Now), call.Step.LatencyObjective, isBelow, {},
                            Model.TellsElsewhere && call.Step.CanGoElsewhere);
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
      Sum.RefusedAtGates += gate < Model.Targets ? 1 : 0;
      result.RetryAfter = it.RetryAfter;
      reply(gate, it.Call, result);
    }
  }

  base::Duration workAt(size_t gate) {
    const auto work = gate < Model.Targets ? Model.Work : Model.Work / 4;
    const bool isLong = Model.HasTails && Draw.below(33) == 0;
    const auto drawn =
        (work / 2 + work * static_cast<int64_t>(Draw.below(1000)) / 1000) *
        (isLong ? 7 : 1);
    return drawn * Model.Speeds[gate % Model.Speeds.size()] / 100 *
           (isNoisy(gate) ? 3 : 1);
  }

  bool isNoisy(size_t gate) const {
    return Model.Noise > 0s && gate % 6 == 0 && Now / Model.Noise % 2 == 0;
  }

  void runAtTarget(size_t gate, CallHandle handle) {
    ++Sum.Arrivals;
    const bool refuses =
        gate < Model.Refusing && Draw.below(100) < Model.RefusedPercent;
    if (!refuses) {
      after(workAt(gate), [this, gate, handle] {
        if (Model.Below == 0 || gate >= Model.Targets) {
          end(gate, handle, ends(AttemptEnd::Answered));
          return;
        }
        Call below;
        below.BegunAt = Now;
        below.Above = handle;
        begin(below);
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
    const auto pace = Model.StatesPace && Model.Noise > 0s
                          ? std::optional(isNoisy(gate) ? 300U : 100U)
                          : std::nullopt;
    const auto answers = Gates[gate]->ended(handle, result.End, at(Now),
                                            result.Refusal, {}, pace);
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
