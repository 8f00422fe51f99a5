#include <LibBalance/AnswerTimes.h>

#include <algorithm>
#include <utility>

namespace radishcross::balance {

namespace {

constexpr int64_t FullPermille = 1000;
/// A time is rounded by less than this part of it.
constexpr double RoundingPart = 0.001;

using Milliseconds = std::chrono::duration<double, std::milli>;

base::Duration durationOf(double milliseconds) {
  return std::chrono::ceil<base::Duration>(Milliseconds(milliseconds));
}

} // namespace

void AnswerTimes::rotate(base::TimePoint now) {
  if (!StartedAt)
    StartedAt = now;
  const auto age = now - *StartedAt;
  if (Current.count() < GenerationAnswers && age < GenerationTime)
    return;
  Previous = age < 2 * GenerationTime
                 ? std::exchange(Current, base::LatencyHistogram())
                 : base::LatencyHistogram();
  Current = {};
  StartedAt = now;
  ReadAt.reset();
}

void AnswerTimes::refresh(base::TimePoint now) {
  rotate(now);
  if (ReadAt && now - *ReadAt < RefreshInterval)
    return;
  ReadAt = now;
  Both = Previous;
  Both.add(Current);
  Buckets = Both.buckets();
}

void AnswerTimes::observed(base::Duration time, base::TimePoint now) {
  rotate(now);
  Current.add(time);
}

void AnswerTimes::abandoned(base::Duration time, base::TimePoint now) {
  observed(time + rest(time, now), now);
}

std::optional<base::Duration> AnswerTimes::quantile(int64_t permille,
                                                    base::TimePoint now) {
  refresh(now);
  const auto answers = static_cast<int64_t>(Both.count());
  if (answers * (FullPermille - permille) < AnswersBeyond * FullPermille)
    return std::nullopt;
  return durationOf(Both.quantileMilliseconds(
      static_cast<double>(permille) / static_cast<double>(FullPermille)));
}

base::Duration AnswerTimes::rest(base::Duration elapsed, base::TimePoint now) {
  refresh(now);
  const double after = Milliseconds(elapsed).count();
  const auto first =
      std::find_if(Buckets.begin(), Buckets.end(), [after](const auto &it) {
        return it.UpperMilliseconds > after * (1 + RoundingPart);
      });
  double count = 0;
  for (auto it = first; it != Buckets.end(); ++it)
    count += it->Count;
  double cumulative = 0;
  for (auto it = first; it != Buckets.end(); ++it) {
    cumulative += it->Count;
    if (cumulative * 2 >= count)
      return durationOf(it->UpperMilliseconds - after);
  }
  return elapsed;
}

} // namespace radishcross::balance
