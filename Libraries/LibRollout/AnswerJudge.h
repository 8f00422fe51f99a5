#pragma once

#include <LibBase/Clock.h>

#include <cstdint>
#include <map>
#include <string>

namespace radishcross::rollout {

/// Tells at one node which answers are bad: failures, and answers that took
/// several times as long as the old version's on the same route.
class AnswerJudge {
public:
  /// Times the old version's mean latency above which an answer is slow.
  static constexpr int64_t SlowFactor = 3;
  /// Old answers on a route before latencies are judged.
  static constexpr uint32_t LeastSamples = 5;
  /// Mean latencies below this count as this much.
  static constexpr base::Duration LeastLatency = std::chrono::milliseconds(2);

  /// Records an answer; returns whether it is bad.
  bool judge(const std::string &route, bool isNew, bool failed,
             base::Duration latency);

private:
  struct Reference {
    int64_t Microseconds = 0; ///< Mean of the old version's latencies.
    uint32_t Samples = 0;
  };
  std::map<std::string, Reference, std::less<>> References;
};

} // namespace radishcross::rollout
