#pragma once

namespace radishcross::calls {

/// Parts of the design that a measurement may switch off, to compare with a
/// plainer one. Not for a fleet that serves.
struct Comparison {
  bool HasRanks = true;          ///< False: first come, first served.
  bool ChoosesByHeadroom = true; ///< False: any usable target, at random.

  bool operator==(const Comparison &) const = default;
};

} // namespace radishcross::calls
