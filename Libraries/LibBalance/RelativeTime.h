#pragma once

#include <LibBase/Clock.h>
#include <LibConfig/Rank.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace radishcross::balance {

/// How long work takes at one target, in permille of the mean of its service.
/// What is known is forgotten over its lifetime.
class RelativeTime {
public:
  static constexpr int64_t UsualPermille = 1000;
  /// Bounds of one observation: targets' speeds differ by a few times, and a
  /// target that nothing reaches would never be known again.
  static constexpr int64_t MinimumPermille = 250;
  static constexpr int64_t MaximumPermille = 4000;
  static constexpr int64_t MemoryInAnswers = 8;
  static constexpr base::Duration Lifetime = std::chrono::seconds(30);

  void observed(int64_t permille, base::TimePoint now) {
    const auto bounded = std::clamp(permille, MinimumPermille, MaximumPermille);
    Seen = now - At < Lifetime ? std::min(Seen + 1, MemoryInAnswers) : 1;
    Permille += (bounded - Permille) / Seen;
    At = now;
  }

  int64_t permille(base::TimePoint now) const {
    if (Permille == UsualPermille || now - At >= Lifetime)
      return UsualPermille;
    const auto fresh = (Lifetime - (now - At)).count();
    return UsualPermille +
           (Permille - UsualPermille) * fresh / Lifetime.count();
  }

private:
  int64_t Permille = UsualPermille;
  int64_t Seen = 0; ///< Answers averaged, up to a bound.
  base::TimePoint At{};
};

/// The mean time of a service's calls over its targets, by kind of call: rank
/// and latency objective.
class ServiceTimes {
public:
  using Kind = std::pair<config::Rank, base::Duration>;
  static constexpr size_t MaximumKinds = 64;
  static constexpr int64_t MemoryInAnswers = 64;

  /// Adds the mean \p time, above 0, of such calls at one target. Returns it in
  /// permille of the mean over the targets.
  int64_t observed(const Kind &kind, base::Duration time) {
    auto it = Means.find(kind);
    if (it == Means.end()) {
      if (Means.size() >= MaximumKinds)
        return RelativeTime::UsualPermille;
      it = Means.emplace(kind, Mean{}).first;
    }
    auto &mean = it->second;
    mean.Seen = std::min(mean.Seen + 1, MemoryInAnswers);
    mean.Microseconds += (time.count() - mean.Microseconds) / mean.Seen;
    return time.count() * RelativeTime::UsualPermille /
           std::max<int64_t>(mean.Microseconds, 1);
  }

  /// Returns the mean over the targets, or nothing if none is known.
  std::optional<base::Duration> mean(const Kind &kind) const {
    const auto it = Means.find(kind);
    return it == Means.end()
               ? std::nullopt
               : std::optional(base::Duration(it->second.Microseconds));
  }

private:
  struct Mean {
    int64_t Microseconds = 0;
    int64_t Seen = 0;
  };
  std::map<Kind, Mean> Means;
};

} // namespace radishcross::balance
