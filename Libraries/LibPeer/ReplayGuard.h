#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace radishcross::peer {

/// Accepts each datagram once: by the sender's process epoch and a window over
/// its sequence numbers, so that reordered datagrams pass and repeated ones do
/// not. A datagram of an earlier process of the same node is refused.
class ReplayGuard {
public:
  static constexpr size_t MaximumSenders = 8192;

  bool accept(std::string_view sender, uint64_t epoch, uint64_t sequence);

private:
  struct Window {
    uint64_t Epoch = 0;
    uint64_t Highest = 0;
    uint64_t Seen = 0; ///< Bit n: Highest - n has been accepted.
  };
  static bool acceptWithin(Window &window, uint64_t sequence);

  std::map<std::string, Window, std::less<>> Windows;
};

} // namespace radishcross::peer
