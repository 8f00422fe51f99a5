#pragma once

#include <LibAdmission/TargetGate.h>
#include <LibBase/Random.h>
#include <LibCalls/CallFixtures.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace radishcross::calls::testing {

/// Load of one run: calls per second by rank, and the slot times.
struct FloodCase {
  uint32_t Slots = 9;
  /// Concurrent calls that the target can run after a third of the time; with
  /// more, all calls get slower.
  double Capacity = 9;
  std::array<double, config::RankCount> Offered{};
  bool Exponential = false; ///< False: uniform between 0.5 and 1.5 times Mean.
  base::Duration Mean = 10ms;
  base::Duration Deadline = 1s;
  base::Duration Length = 30s;
};

/// Results for the calls of one rank.
struct FloodOutcome {
  uint64_t Offered = 0;
  uint64_t Answered = 0; ///< Within the deadline.
  uint64_t Refused = 0;
  base::Duration SlotTime{};
  base::Duration LongestRefusal{}; ///< Time until a refusal was returned.
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

/// Simulates one target with its gate under Poisson arrivals, on a manual
/// clock.
class FloodModel {
public:
  explicit FloodModel(const FloodCase &flood) : Flood(flood) {
    admission::TargetGateSettings settings;
    settings.State = TargetState::Ready;
    settings.Slots = flood.Slots;
    settings.Connections = 120;
    Gate.configure(settings, at(0s));
    for (size_t rank = 0; rank < config::RankCount; ++rank)
      scheduleArrival(rank);
    scheduleTick();
  }

  std::array<FloodOutcome, config::RankCount> run() {
    while (Events.begin()->first < Flood.Length) {
      const auto event = Events.extract(Events.begin());
      Now = event.key();
      event.mapped()();
    }
    return Outcomes;
  }

  uint32_t limit() const { return Gate.limit(); }

private:
  using Call = std::pair<size_t, base::Duration>; ///< Rank, arrival.

  void after(double microseconds, std::function<void()> action) {
    const base::Duration wait(static_cast<int64_t>(microseconds));
    Events.emplace(Now + wait, std::move(action));
  }

  double exponential() { return -std::log(1 - Randomness.unit()); }

  void scheduleTick() {
    after(10'000, [this] {
      scheduleTick();
      take(Gate.tick(at(Now)));
    });
  }

  void scheduleArrival(size_t rank) {
    if (Flood.Offered[rank] <= 0)
      return;
    after(exponential() * 1e6 / Flood.Offered[rank], [this, rank] {
      scheduleArrival(rank);
      ++Outcomes[rank].Offered;
      Calls[++Last] = {rank, Now};
      const auto answer = Gate.arrive(Last, static_cast<Rank>(rank),
                                      Flood.Deadline, 0, at(Now));
      if (answer.What != admission::GateAnswer::Kind::Queued)
        take({answer});
    });
  }

  void take(const std::vector<admission::GateAnswer> &answers) {
    for (const auto &it : answers) {
      const auto [rank, arrived] = Calls.at(it.Call);
      auto &outcome = Outcomes[rank];
      if (it.What == admission::GateAnswer::Kind::Run) {
        start(it.Call, outcome);
        continue;
      }
      Calls.erase(it.Call);
      ++outcome.Refused;
      outcome.LongestRefusal = std::max(outcome.LongestRefusal, Now - arrived);
    }
  }

  void start(admission::Ticket call, FloodOutcome &outcome) {
    const double factor =
        Flood.Exponential ? exponential() : 0.5 + Randomness.unit();
    const auto running =
        static_cast<double>(Now < Flood.Length / 3 ? 0 : Gate.running());
    const double taken = factor * static_cast<double>(Flood.Mean.count()) *
                         std::max(1.0, running / Flood.Capacity);
    outcome.SlotTime += base::Duration(static_cast<int64_t>(taken));
    after(taken, [this, call, &outcome] {
      const auto latency = Now - Calls.at(call).second;
      Calls.erase(call);
      if (latency <= Flood.Deadline) {
        ++outcome.Answered;
        outcome.Latencies.push_back(latency.count());
      }
      take(Gate.ended(call, AttemptEnd::Answered, at(Now)));
    });
  }

  FloodCase Flood;
  trace::NullRecorder Recorder;
  admission::TargetGate Gate{"t", Recorder};
  base::Random Randomness{7};
  std::multimap<base::Duration, std::function<void()>> Events;
  std::unordered_map<admission::Ticket, Call> Calls;
  std::array<FloodOutcome, config::RankCount> Outcomes;
  admission::Ticket Last = 0;
  base::Duration Now{};
};

} // namespace radishcross::calls::testing
