#pragma once

#include <LibBase/Clock.h>

#include <cstdint>
#include <optional>

namespace radishcross::balance {

/// Estimate of one target's load at a caller's node, in permille. The pressure
/// on an answer of the target's node is used while it is fresh. After that the
/// target's own report is used, with a weight that falls with its age and with
/// the difference between earlier reports and observations.
class LoadEstimate {
public:
  static constexpr base::Duration ObservedLifetime = std::chrono::seconds(2);
  static constexpr base::Duration ReportLifetime = std::chrono::seconds(10);
  /// Load assumed when nothing is known.
  static constexpr int64_t NeutralPermille = 500;
  /// Mean disagreement, in permille, from which reports are ignored.
  static constexpr int64_t DistrustPermille = 400;

  /// Records the load that the target reports of itself.
  void reported(uint32_t permille, base::TimePoint now);

  /// Records the pressure that the target's node put on an answer.
  void observed(uint32_t permille, base::TimePoint now);

  uint32_t current(base::TimePoint now) const;

  /// Returns the time since the last report or observation; 0: there was none.
  base::Duration age(base::TimePoint now) const;

private:
  struct Sample {
    int64_t Permille = 0;
    base::TimePoint At{};
  };
  std::optional<Sample> Report;
  std::optional<Sample> Observation;
  int64_t Disagreement = 0; ///< Moving mean, permille.
};

} // namespace radishcross::balance
