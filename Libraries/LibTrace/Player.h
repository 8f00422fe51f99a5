#pragma once

#include <LibTrace/Entry.h>

#include <string_view>

namespace radishcross::trace {

/// Runs one recorded event through the code of a decision module. A player
/// holds the module's state from entry to entry; the first entries of a module
/// in a trace set it up.
class Player {
public:
  virtual ~Player() = default;

  /// Returns what the module decides now for the event of \p entry.
  virtual Outcome play(const Entry &entry) = 0;

  /// Returns the name of an event for people, or an empty text.
  virtual std::string_view eventName(uint8_t event) const {
    (void)event;
    return {};
  }
};

} // namespace radishcross::trace
