#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace radishcross::peer {

/// Rejects replayed datagrams by the sender's process epoch and a sliding
/// window of 64 sequence numbers: reordered datagrams are accepted, repeated
/// ones and those of an earlier process of the same node are not.
class ReplayGuard {
public:
  static constexpr size_t MaximumSenders = 8192;

  bool accept(std::string_view sender, uint64_t epoch, uint64_t sequence);

private:
  struct Window {
    uint64_t Epoch = 0;
    uint64_t Highest = 0;
    uint64_t Seen = 0; ///< Bit n: sequence Highest - n was accepted.
  };
  static bool acceptWithin(Window &window, uint64_t sequence);

  std::map<std::string, Window, std::less<>> Windows;
};

} // namespace radishcross::peer
