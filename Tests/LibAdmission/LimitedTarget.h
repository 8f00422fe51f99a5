#pragma once

#include <LibAdmission/NodeGate.h>
#include <LibCalls/CallFixtures.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <vector>

namespace radishcross::calls::testing {

/// A model of one target behind a node's gate: it answers each call after
/// CallTime and states its rate limit on each answer. Time passes in steps of
/// Step.
struct LimitedTarget {
  static constexpr base::Duration Step = 5ms;
  static constexpr base::Duration CallTime = 120ms;
  static constexpr base::Duration TickPeriod = 20ms;

  struct Started {
    admission::Ticket Call = 0;
    base::Duration At{};
    Rank CallRank = Rank::Standard;
    base::Duration Objective{};
  };

  explicit LimitedTarget(std::optional<balance::MilliRate> limit)
      : Limit(limit) {
    restartNode();
  }

  /// Replaces the gate by that of a new process of the node; calls at the
  /// target are lost.
  void restartNode() {
    Running.clear();
    Gate = std::make_unique<admission::NodeGate>(Quarantined, Recorder);
    Gate->targetsChanged({record()}, at(Now));
  }

  /// Replaces the target's process by another one without a limit.
  void restartTarget() {
    ++Epoch;
    Limit.reset();
    Gate->targetsChanged({record()}, at(Now));
  }

  fleet::TargetRecord record() const {
    auto out = target("t", Slots);
    out.Epoch = Epoch;
    return out;
  }

  admission::GateAnswer arrive(Rank rank, base::Duration objective = 400ms) {
    admission::Arrival it;
    it.ServiceName = Lookup;
    it.TargetId = "t";
    it.CallRank = rank;
    it.Remaining = 1s;
    it.LatencyObjective = objective;
    it.StatedRate = KnownToCallers;
    const auto out = Gate->arrive(it, at(Now));
    ++Arrived;
    if (out.What == admission::GateAnswer::Kind::Run)
      start(out.Call, rank, objective);
    if (out.What == admission::GateAnswer::Kind::Queued)
      Queued.push_back({out.Call, Now, rank, objective});
    if (out.What == admission::GateAnswer::Kind::Refuse)
      Refused.push_back(out);
    return out;
  }

  /// Runs for \p time with one call of \p rank every \p interval.
  void run(base::Duration time, base::Duration interval,
           Rank rank = Rank::Standard) {
    for (const auto until = Now + time; Now < until; Now += Step) {
      if (Now % interval == 0ms)
        arrive(rank);
      endCalls();
      if (Now % TickPeriod == 0ms)
        apply(Gate->tick(at(Now)));
    }
  }

  /// Returns the most calls that were started in any \p window.
  size_t mostStarts(base::Duration window) const {
    size_t most = 0;
    for (auto it = Starts.begin(); it != Starts.end(); ++it) {
      const auto end = std::find_if(it, Starts.end(), [&](const auto &other) {
        return other.At - it->At >= window;
      });
      most = std::max(most, static_cast<size_t>(end - it));
    }
    return most;
  }

  size_t startsOf(Rank rank) const {
    return static_cast<size_t>(
        std::count_if(Starts.begin(), Starts.end(),
                      [rank](const auto &it) { return it.CallRank == rank; }));
  }

  trace::NullRecorder Recorder;
  Quarantine Quarantined{Recorder};
  std::unique_ptr<admission::NodeGate> Gate;
  std::optional<balance::MilliRate> Limit;
  /// The limit on the answers that the callers' nodes have passed on.
  std::optional<balance::MilliRate> KnownToCallers;
  uint32_t Slots = 9;
  uint64_t Epoch = 1;
  base::Duration Now{};
  size_t Arrived = 0;
  std::vector<Started> Starts;
  std::vector<Started> Running;
  std::vector<Started> Queued;
  std::vector<admission::GateAnswer> Refused;

private:
  void start(admission::Ticket call, Rank rank, base::Duration objective) {
    Starts.push_back({call, Now, rank, objective});
    Running.push_back(Starts.back());
  }

  void endCalls() {
    std::vector<admission::Ticket> ended;
    for (const auto &it : Running)
      if (Now - it.At >= CallTime)
        ended.push_back(it.Call);
    for (const admission::Ticket call : ended) {
      std::erase_if(Running,
                    [call](const auto &it) { return it.Call == call; });
      auto result = ends(AttemptEnd::Answered);
      result.Signals.emplace().RateLimit = Limit;
      Gate->signalled(call, *result.Signals, at(Now));
      apply(Gate->ended(call, result, at(Now)));
    }
  }

  void apply(const std::vector<admission::GateAnswer> &answers) {
    for (const auto &it : answers) {
      const auto queued =
          std::find_if(Queued.begin(), Queued.end(), [&it](const auto &other) {
            return other.Call == it.Call;
          });
      if (queued == Queued.end())
        continue;
      if (it.What == admission::GateAnswer::Kind::Run)
        start(it.Call, queued->CallRank, queued->Objective);
      else
        Refused.push_back(it);
      Queued.erase(queued);
    }
  }
};

} // namespace radishcross::calls::testing
