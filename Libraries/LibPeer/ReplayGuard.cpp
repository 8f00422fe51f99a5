#include <LibPeer/ReplayGuard.h>

namespace radishcross::peer {

namespace {
constexpr uint64_t WindowBits = 64;
} // namespace

bool ReplayGuard::acceptWithin(Window &window, uint64_t sequence) {
  if (sequence > window.Highest) {
    uint64_t step = sequence - window.Highest;
    window.Seen = step >= WindowBits ? 0 : window.Seen << step;
    window.Seen |= 1;
    window.Highest = sequence;
    return true;
  }
  uint64_t age = window.Highest - sequence;
  if (age >= WindowBits || ((window.Seen >> age) & 1) != 0)
    return false;
  window.Seen |= 1ULL << age;
  return true;
}

bool ReplayGuard::accept(std::string_view sender, uint64_t epoch,
                         uint64_t sequence) {
  auto it = Windows.find(sender);
  if (it == Windows.end()) {
    // Senders are authenticated, so a full table means that node ids churn.
    // Clearing it allows old datagrams to be replayed once.
    if (Windows.size() >= MaximumSenders)
      Windows.clear();
    Windows.emplace(sender, Window{epoch, sequence, 1});
    return true;
  }
  auto &window = it->second;
  if (epoch < window.Epoch)
    return false;
  if (epoch > window.Epoch) {
    window = Window{epoch, sequence, 1};
    return true;
  }
  return acceptWithin(window, sequence);
}

} // namespace radishcross::peer
