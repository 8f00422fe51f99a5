#include <LibTrace/RingRecorder.h>

#include <algorithm>
#include <set>

namespace radishcross::trace {

namespace {

/// A module whose player reads the state of another module's player, so that
/// its entries must start after the other's.
struct Dependency {
  Module Dependent;
  Module Source;
};

/// Modules whose set-up entry holds their whole state at that time.
constexpr Module ModulesWithFullSetUp[] = {
    Module::Fold,     Module::Snapshot, Module::Spreader,
    Module::Recovery, Module::CallPlan, Module::Idempotency};

constexpr Dependency Dependencies[] = {{Module::Snapshot, Module::Fold}};

} // namespace

RingRecorder::RingRecorder(const RingRecorderLimits &limits) : Limits(limits) {}

void RingRecorder::dropOldest() {
  countDropped(Buffer.front());
  TextBytes -= Buffer.front().Text.size();
  Buffer.pop_front();
}

void RingRecorder::countDropped(const Entry &entry) {
  ++Dropped;
  ++DroppedByModule[static_cast<size_t>(entry.Source)];
}

void RingRecorder::record(Entry entry) {
  if (entry.Text.size() > Limits.TextBytes || Limits.Entries == 0) {
    countDropped(entry);
    return;
  }
  while (Buffer.size() == Limits.Entries ||
         TextBytes + entry.Text.size() > Limits.TextBytes)
    dropOldest();
  TextBytes += entry.Text.size();
  Buffer.push_back(std::move(entry));
}

size_t RingRecorder::findSetUp(Module source, int64_t fromMicroseconds,
                               size_t first) const {
  size_t found = Buffer.size();
  for (size_t i = first; i < Buffer.size(); ++i) {
    const auto &entry = Buffer[i];
    if (entry.Source != source || entry.Event != SetUpEvent)
      continue;
    if (entry.AtMicroseconds > fromMicroseconds && found != Buffer.size())
      break;
    found = i;
  }
  return found;
}

std::array<size_t, std::size(ModuleNames)>
RingRecorder::firstIndexes(int64_t fromMicroseconds) const {
  std::array<size_t, std::size(ModuleNames)> out{};
  for (size_t i = 0; i < out.size(); ++i)
    out[i] = DroppedByModule[i] == 0 ? 0 : Buffer.size();
  for (Module it : ModulesWithFullSetUp)
    out[static_cast<size_t>(it)] = findSetUp(it, fromMicroseconds, 0);
  for (const auto &it : Dependencies)
    out[static_cast<size_t>(it.Dependent)] =
        findSetUp(it.Dependent, fromMicroseconds,
                  std::min(Buffer.size(), out[static_cast<size_t>(it.Source)]));
  return out;
}

Trace RingRecorder::recording(const std::string &node, uint64_t seed,
                              int64_t fromMicroseconds) const {
  Trace out{node, seed, "", {}, {}};
  auto firstIndex = firstIndexes(fromMicroseconds);
  std::set<Module> leftOut;
  for (size_t i = 0; i < Buffer.size(); ++i) {
    const auto &entry = Buffer[i];
    if (firstIndex[static_cast<size_t>(entry.Source)] <= i)
      out.Entries.push_back(entry);
    else if (entry.AtMicroseconds >= fromMicroseconds)
      leftOut.insert(entry.Source);
  }
  out.LeftOut.assign(leftOut.begin(), leftOut.end());
  return out;
}

} // namespace radishcross::trace
