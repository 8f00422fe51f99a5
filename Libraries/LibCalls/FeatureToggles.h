#pragma once

namespace radishcross::calls {

/// Parts of the design that a measurement may switch off, to compare with a
/// plainer one. Not for a fleet that serves.
struct FeatureToggles {
  bool RanksEnabled = true;    ///< False: first come, first served.
  bool HeadroomEnabled = true; ///< False: any usable target, at random.

  bool operator==(const FeatureToggles &) const = default;
};

} // namespace radishcross::calls
