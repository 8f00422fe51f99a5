#pragma once

#include <LibBase/Clock.h>

#include <cstdint>
#include <optional>

namespace radishcross::calls {

/// The load of one target as a caller's node believes it, in permille. What an
/// answer of the target's node carried is believed while it is fresh; after
/// that the target's own report counts, the less the older it is and the more
/// earlier reports disagreed with what was observed.
class LoadEstimate {
public:
  static constexpr base::Duration ObservedLifetime = std::chrono::seconds(2);
  static constexpr base::Duration ReportLifetime = std::chrono::seconds(10);
  /// Assumed when nothing is known.
  static constexpr int64_t NeutralPermille = 500;
  /// Mean disagreement from which a report is worth nothing.
  static constexpr int64_t DistrustPermille = 400;

  /// Takes the load that the target reports of itself.
  void reported(uint32_t permille, base::TimePoint now);

  /// Takes the pressure that its node put on an answer.
  void observed(uint32_t permille, base::TimePoint now);

  uint32_t current(base::TimePoint now) const;

  /// Returns for how long nothing was told of it; 0 if nothing ever was.
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

} // namespace radishcross::calls
