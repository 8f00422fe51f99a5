#pragma once

#include <LibTrace/Entry.h>

namespace radishcross::trace {

/// Runs one recorded event through the code of a decision module. A player
/// holds the module's state from entry to entry; the first entries of a module
/// in a trace set it up.
class Player {
public:
  virtual ~Player() = default;

  /// Returns what the module decides now for the event of \p entry.
  virtual Outcome play(const Entry &entry) = 0;
};

} // namespace radishcross::trace
