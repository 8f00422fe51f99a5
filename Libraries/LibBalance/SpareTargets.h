#pragma once

#include <LibBalance/KnownTarget.h>
#include <LibBalance/TargetTable.h>
#include <LibBase/Clock.h>

#include <cstdint>

namespace radishcross::balance {

/// Which targets have room for work that could also be left undone.
class SpareTargets {
public:
  /// Load of a target, in permille, below which it has room. A load that is not
  /// known counts as LoadEstimate::NeutralPermille, so such a target has none.
  static constexpr uint32_t RoomPermille = 500;
  /// Extra work may take its whole share while at least this part of the
  /// targets has room, and nothing from the second on down, in permille.
  static constexpr int64_t FullHeadroomPermille = 600;
  static constexpr int64_t NoHeadroomPermille = 250;

  /// Returns whether a target is sound and would start a call at once, by all
  /// that is known of it.
  static bool hasRoom(const KnownTarget &target, base::TimePoint now);

  /// Returns the part of its share that extra work may take now, in permille.
  /// Targets whose load is not known are left out.
  static int64_t headroomPermille(const TargetTable::Targets &targets,
                                  base::TimePoint now);
};

} // namespace radishcross::balance
