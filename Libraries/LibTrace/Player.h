#pragma once

#include <LibTrace/Entry.h>

#include <string_view>

namespace radishcross::trace {

/// Replays recorded events through the code of a decision module. A player
/// holds the module's state between entries; the first entries of a module in a
/// trace set it up.
class Player {
public:
  virtual ~Player() = default;

  /// Returns the current decision of the module for the event of \p entry.
  virtual Outcome play(const Entry &entry) = 0;

  /// Returns a human-readable name of an event, or an empty string.
  virtual std::string_view eventName(uint8_t event) const {
    (void)event;
    return {};
  }
};

} // namespace radishcross::trace
