#include <LibTrace/Ring.h>

#include <algorithm>
#include <array>
#include <limits>

namespace radishcross::trace {

Ring::Ring(const RingLimits &limits) : Limits(limits) {
  // A ring that can hold nothing would have no slot to write to.
  Limits.Entries = std::max<size_t>(1, Limits.Entries);
  Slots.resize(Limits.Entries);
}

void Ring::dropOldest() {
  auto &oldest = Slots[First];
  TextBytes -= oldest.Text.size();
  oldest.Text = std::string();
  First = (First + 1) % Slots.size();
  --Count;
  ++Dropped;
}

void Ring::record(Entry entry) {
  if (entry.Text.size() > Limits.TextBytes) {
    ++Dropped;
    return;
  }
  while (Count == Slots.size() ||
         TextBytes + entry.Text.size() > Limits.TextBytes)
    dropOldest();
  TextBytes += entry.Text.size();
  Slots[(First + Count) % Slots.size()] = std::move(entry);
  ++Count;
}

std::vector<Entry> Ring::since(int64_t fromMicroseconds) const {
  constexpr size_t None = std::numeric_limits<size_t>::max();
  // Where the entries of each module begin.
  std::array<size_t, std::size(ModuleNames)> begin{};
  begin.fill(None);
  for (size_t i = 0; i < Count; ++i) {
    const auto &entry = at(i);
    auto &start = begin[static_cast<size_t>(entry.Source)];
    bool isBefore = entry.AtMicroseconds <= fromMicroseconds;
    if (entry.Event == SetUpEvent && (isBefore || start == None))
      start = i;
  }
  std::vector<Entry> out;
  for (size_t i = 0; i < Count; ++i)
    if (begin[static_cast<size_t>(at(i).Source)] <= i)
      out.push_back(at(i));
  return out;
}

} // namespace radishcross::trace
