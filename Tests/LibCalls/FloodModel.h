#pragma once

#include <LibBase/Random.h>
#include <LibCalls/CallFixtures.h>
#include <LibCalls/TargetGate.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <map>
#include <queue>
#include <unordered_map>
#include <vector>

namespace radishcross::calls::testing {

/// What one run offers: calls a second by rank and the slot times.
struct FloodCase {
  uint32_t Slots = 9;
  std::array<double, config::RankCount> Offered{};
  bool Exponential = false; ///< Else uniform between half and 1.5 times Mean.
  base::Duration Mean = 10ms;
  base::Duration Deadline = 1s;
  base::Duration Length = 30s;
};

/// What became of the calls of one rank.
struct FloodOutcome {
  uint64_t Offered = 0;
  uint64_t Answered = 0; ///< Within the deadline.
  uint64_t Refused = 0;
  base::Duration SlotTime{};
  base::Duration LongestRefusal{}; ///< Time until a refusal was told.
  std::vector<int64_t> Latencies;  ///< Of the answered calls, microseconds.

  int64_t percentile99() {
    if (Latencies.empty())
      return 0;
    const auto it =
        Latencies.begin() + static_cast<ptrdiff_t>(Latencies.size() * 99 / 100);
    std::nth_element(Latencies.begin(), it, Latencies.end());
    return *it;
  }
};

/// One target with its gate under Poisson arrivals, on a manual clock.
class FloodModel {
public:
  explicit FloodModel(const FloodCase &what) : What(what) {
    TargetGateSettings settings;
    settings.State = TargetState::Ready;
    settings.Slots = what.Slots;
    settings.Connections = 120;
    Gate.configure(settings, at(0s));
    for (size_t rank = 0; rank < config::RankCount; ++rank)
      scheduleArrival(static_cast<Rank>(rank), 0us);
    Events.push({10ms, Event::Tick, 0});
  }

  std::array<FloodOutcome, config::RankCount> run() {
    while (Events.top().At < What.Length) {
      const auto event = Events.top();
      Events.pop();
      (this->*Handlers[event.Kind])(event);
    }
    return Outcomes;
  }

private:
  struct Event {
    enum Type : uint8_t { Arrive, End, Tick };
    base::Duration At{};
    Type Kind = Arrive;
    uint64_t Number = 0; ///< Rank or ticket.
    bool operator<(const Event &other) const { return other.At < At; }
  };
  struct Call {
    Rank CallRank;
    base::Duration ArrivedAt;
  };

  double exponential() { return -std::log(1 - Randomness.unit()); }

  base::Duration slotTime() {
    const double factor =
        What.Exponential ? exponential() : 0.5 + Randomness.unit();
    return base::Duration(
        static_cast<int64_t>(factor * static_cast<double>(What.Mean.count())));
  }

  void scheduleArrival(Rank rank, base::Duration now) {
    const double rate = What.Offered[static_cast<size_t>(rank)];
    if (rate <= 0)
      return;
    const base::Duration gap(static_cast<int64_t>(exponential() * 1e6 / rate));
    Events.push({now + gap, Event::Arrive, static_cast<uint64_t>(rank)});
  }

  void arrive(const Event &event) {
    const auto rank = static_cast<Rank>(event.Number);
    scheduleArrival(rank, event.At);
    ++Outcomes[event.Number].Offered;
    Calls[++Last] = {rank, event.At};
    const auto answer = Gate.arrive(Last, rank, What.Deadline, 0, at(event.At));
    if (answer.What != GateAnswer::Kind::Queued)
      take({answer}, event.At);
  }

  void end(const Event &event) {
    const auto call = Calls.at(event.Number);
    Calls.erase(event.Number);
    auto &outcome = Outcomes[static_cast<size_t>(call.CallRank)];
    const auto latency = event.At - call.ArrivedAt;
    if (latency <= What.Deadline) {
      ++outcome.Answered;
      outcome.Latencies.push_back(latency.count());
    }
    take(Gate.ended(event.Number, AttemptEnd::Answered, at(event.At)),
         event.At);
  }

  void tick(const Event &event) {
    take(Gate.tick(at(event.At)), event.At);
    Events.push({event.At + 10ms, Event::Tick, 0});
  }

  void take(const std::vector<GateAnswer> &answers, base::Duration now) {
    for (const auto &it : answers) {
      const auto call = Calls.at(it.Call);
      auto &outcome = Outcomes[static_cast<size_t>(call.CallRank)];
      if (it.What == GateAnswer::Kind::Run) {
        const auto taken = slotTime();
        outcome.SlotTime += taken;
        Events.push({now + taken, Event::End, it.Call});
        continue;
      }
      Calls.erase(it.Call);
      ++outcome.Refused;
      outcome.LongestRefusal =
          std::max(outcome.LongestRefusal, now - call.ArrivedAt);
    }
  }

  static constexpr void (FloodModel::*Handlers[])(const Event &) = {
      &FloodModel::arrive, &FloodModel::end, &FloodModel::tick};

  FloodCase What;
  trace::NullRecorder Recorder;
  TargetGate Gate{"t", Recorder};
  base::Random Randomness{7};
  std::priority_queue<Event> Events;
  std::unordered_map<uint64_t, Call> Calls;
  std::array<FloodOutcome, config::RankCount> Outcomes;
  uint64_t Last = 0;
};

} // namespace radishcross::calls::testing
