#include <LibTrace/Ring.h>

#include <algorithm>
#include <set>

namespace radishcross::trace {

namespace {

/// A module whose player reads what another module's player holds, so that its
/// entries begin after the other's.
struct Dependency {
  Module Reader;
  Module Source;
};

/// Modules whose set-up entry holds all the state that they have by then.
constexpr Module StartedAnew[] = {Module::Fold,     Module::Snapshot,
                                  Module::Spreader, Module::Recovery,
                                  Module::CallPlan, Module::Idempotency};

constexpr Dependency Dependencies[] = {{Module::Snapshot, Module::Fold}};

} // namespace

Ring::Ring(const RingLimits &limits) : Limits(limits) {}

void Ring::dropOldest() {
  countDropped(Slots.front());
  TextBytes -= Slots.front().Text.size();
  Slots.pop_front();
}

void Ring::countDropped(const Entry &entry) {
  ++Dropped;
  ++DroppedOf[static_cast<size_t>(entry.Source)];
}

void Ring::record(Entry entry) {
  if (entry.Text.size() > Limits.TextBytes || Limits.Entries == 0) {
    countDropped(entry);
    return;
  }
  while (Slots.size() == Limits.Entries ||
         TextBytes + entry.Text.size() > Limits.TextBytes)
    dropOldest();
  TextBytes += entry.Text.size();
  Slots.push_back(std::move(entry));
}

size_t Ring::findSetUp(Module source, int64_t fromMicroseconds,
                       size_t first) const {
  size_t found = Slots.size();
  for (size_t i = first; i < Slots.size(); ++i) {
    const auto &entry = Slots[i];
    if (entry.Source != source || entry.Event != SetUpEvent)
      continue;
    if (entry.AtMicroseconds > fromMicroseconds && found != Slots.size())
      break;
    found = i;
  }
  return found;
}

std::array<size_t, std::size(ModuleNames)>
Ring::begins(int64_t fromMicroseconds) const {
  std::array<size_t, std::size(ModuleNames)> out{};
  for (size_t i = 0; i < out.size(); ++i)
    out[i] = DroppedOf[i] == 0 ? 0 : Slots.size();
  for (Module it : StartedAnew)
    out[static_cast<size_t>(it)] = findSetUp(it, fromMicroseconds, 0);
  for (const auto &it : Dependencies)
    out[static_cast<size_t>(it.Reader)] =
        findSetUp(it.Reader, fromMicroseconds,
                  std::min(Slots.size(), out[static_cast<size_t>(it.Source)]));
  return out;
}

Trace Ring::recording(const std::string &node, uint64_t seed,
                      int64_t fromMicroseconds) const {
  Trace out{node, seed, "", {}, {}};
  auto begin = begins(fromMicroseconds);
  std::set<Module> leftOut;
  for (size_t i = 0; i < Slots.size(); ++i) {
    const auto &entry = Slots[i];
    if (begin[static_cast<size_t>(entry.Source)] <= i)
      out.Entries.push_back(entry);
    else if (entry.AtMicroseconds >= fromMicroseconds)
      leftOut.insert(entry.Source);
  }
  out.LeftOut.assign(leftOut.begin(), leftOut.end());
  return out;
}

} // namespace radishcross::trace
