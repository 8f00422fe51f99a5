#pragma once

#include <LibBase/Clock.h>
#include <LibBase/LatencyHistogram.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace radishcross::balance {

/// The recent answer times of one route at a caller's node, as if each target
/// were of the usual speed: the caller divides a time by the target's
/// RelativeTime. They are forgotten by number and by age.
class AnswerTimes {
public:
  /// A quantile is known only with this many answers beyond it.
  static constexpr int64_t AnswersBeyond = 3;
  /// Answers or time after which one generation follows another; two count.
  static constexpr uint64_t GenerationAnswers = 1000;
  static constexpr base::Duration GenerationTime = std::chrono::seconds(30);
  /// How long a reading of the generations is used.
  static constexpr base::Duration RefreshInterval =
      std::chrono::milliseconds(250);

  void observed(base::Duration time, base::TimePoint now);

  /// Records an attempt that was abandoned after \p time without an answer. It
  /// counts with the time that it would have taken as far as is known.
  void abandoned(base::Duration time, base::TimePoint now);

  /// Returns the time by which \p permille of the answers have come, or nothing
  /// if too few are known.
  std::optional<base::Duration> quantile(int64_t permille, base::TimePoint now);

  /// Returns the time that half of the attempts which have no answer after
  /// \p elapsed still take at most. One that has outlasted all answers is taken
  /// to last as long again.
  base::Duration rest(base::Duration elapsed, base::TimePoint now);

private:
  void rotate(base::TimePoint now);
  void refresh(base::TimePoint now);

  base::LatencyHistogram Current;
  base::LatencyHistogram Previous;
  std::optional<base::TimePoint> StartedAt; ///< Of the current generation.
  /// Both generations as they were last read.
  base::LatencyHistogram Both;
  std::vector<base::LatencyHistogram::Bucket> Buckets;
  std::optional<base::TimePoint> ReadAt;
};

} // namespace radishcross::balance
