#include <LibTrace/Ring.h>

#include <algorithm>
#include <array>

namespace radishcross::trace {

namespace {

/// A module whose player reads what another module's player holds, so that its
/// entries begin after the other's.
struct Dependency {
  Module Reader;
  Module Source;
};

constexpr Dependency Dependencies[] = {{Module::Snapshot, Module::Fold}};

} // namespace

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

size_t Ring::findSetUp(Module source, int64_t fromMicroseconds,
                       size_t first) const {
  size_t found = Count;
  for (size_t i = first; i < Count; ++i) {
    const auto &entry = at(i);
    if (entry.Source != source || entry.Event != SetUpEvent)
      continue;
    if (entry.AtMicroseconds > fromMicroseconds && found != Count)
      break;
    found = i;
  }
  return found;
}

std::vector<Entry> Ring::since(int64_t fromMicroseconds) const {
  std::array<size_t, std::size(ModuleNames)> begin{};
  for (const auto &row : ModuleNames)
    begin[static_cast<size_t>(row.Value)] =
        findSetUp(row.Value, fromMicroseconds, 0);
  for (const auto &it : Dependencies)
    begin[static_cast<size_t>(it.Reader)] =
        findSetUp(it.Reader, fromMicroseconds,
                  std::min(Count, begin[static_cast<size_t>(it.Source)]));
  std::vector<Entry> out;
  for (size_t i = 0; i < Count; ++i)
    if (begin[static_cast<size_t>(at(i).Source)] <= i)
      out.push_back(at(i));
  return out;
}

} // namespace radishcross::trace
