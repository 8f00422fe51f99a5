#include <LibRollout/AnswerJudge.h>

#include <algorithm>

namespace radishcross::rollout {

namespace {

/// Answers over which the mean is taken.
constexpr int64_t MeanWindow = 32;

} // namespace

bool AnswerJudge::judge(const std::string &route, bool isNew, bool failed,
                        base::Duration latency) {
  if (failed)
    return true;
  auto &it = References[route];
  const auto mean = std::max<int64_t>(it.Microseconds, LeastLatency.count());
  const bool slow =
      it.Samples >= LeastSamples && latency.count() > SlowFactor * mean;
  if (isNew)
    return slow;
  it.Samples = static_cast<uint32_t>(
      std::min<int64_t>(int64_t{it.Samples} + 1, MeanWindow));
  it.Microseconds += (latency.count() - it.Microseconds) / it.Samples;
  return slow;
}

} // namespace radishcross::rollout
