#pragma once

namespace radishcross::balance {

/// Features that a benchmark may disable to compare with a simpler design. Not
/// for use in production.
struct FeatureToggles {
  bool RanksEnabled = true;    ///< False: first come, first served.
  bool HeadroomEnabled = true; ///< False: any usable target, at random.

  bool operator==(const FeatureToggles &) const = default;
};

} // namespace radishcross::balance
