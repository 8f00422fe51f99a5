#include <LibHttp/RepeatSchedule.h>

#include <algorithm>

namespace radishcross::http {

namespace {

/// Percentages of the bound. What is left serves for the repeat itself and for
/// passing its result on.
constexpr int64_t FirstDelayPercent = 30;
constexpr int64_t SpacingPercent = 50;

/// The link carries other traffic as well.
constexpr uint64_t LinkShares = 3;

constexpr uint64_t MicrosecondsPerSecond = 1'000'000;

} // namespace

RepeatPolicy RepeatPolicy::withinBound(base::Duration bound,
                                       uint64_t linkBytesPerSecond) {
  RepeatPolicy out;
  out.FirstDelay = bound * FirstDelayPercent / 100;
  out.Spacing = bound * SpacingPercent / 100;
  out.LeastBytesPerSecond =
      std::max<uint64_t>(linkBytesPerSecond / LinkShares, 1);
  return out;
}

std::optional<base::TimePoint>
RepeatSchedule::nextRepeat(const ResponseProgress &progress) const {
  auto slowest = NextRepeat + std::chrono::microseconds(
                                  progress.Bytes * MicrosecondsPerSecond /
                                  Policy.LeastBytesPerSecond);
  auto stopped = progress.LastAt + Policy.FirstDelay;
  auto out = std::max(NextRepeat, std::min(slowest, stopped));
  return out < FailsAt ? std::optional(out) : std::nullopt;
}

} // namespace radishcross::http
