#include <LibTrace/Replay.h>

#include <array>

namespace radishcross::trace {

namespace {

constexpr size_t ShownTextBytes = 120;

template <size_t Size>
std::string listOf(const std::array<int64_t, Size> &numbers) {
  std::string out = "[";
  for (int64_t it : numbers)
    out += (out.size() > 1 ? ", " : "") + std::to_string(it);
  return out + "]";
}

} // namespace

ReplayReport Replay::run(const Trace &trace) const {
  ReplayReport report;
  auto players = Make();
  std::array<Player *, std::size(ModuleNames)> found{};
  for (const auto &[source, player] : players)
    found[static_cast<size_t>(source)] = player.get();
  for (size_t i = 0; i < trace.Entries.size(); ++i) {
    const auto &entry = trace.Entries[i];
    auto *player = found[static_cast<size_t>(entry.Source)];
    if (!player) {
      ++report.NotPlayed[entry.Source];
      continue;
    }
    auto decided = player->play(entry);
    ++report.Played;
    if (decided == entry.Decided)
      continue;
    report.First = Difference{i, entry, decided,
                              std::string(player->eventName(entry.Event))};
    break;
  }
  return report;
}

std::string explain(const Difference &difference) {
  const auto &entry = difference.Recorded;
  std::string out = "entry " + std::to_string(difference.Index + 1) + ", at " +
                    std::to_string(entry.AtMicroseconds) + " us, module " +
                    std::string(base::nameOf(ModuleNames, entry.Source)) +
                    ", event " + std::to_string(entry.Event);
  if (!difference.EventName.empty())
    out += " (" + difference.EventName + ")";
  out += " with " + listOf(entry.Numbers);
  if (!entry.Text.empty())
    out += " \"" + entry.Text.substr(0, ShownTextBytes) + "\"";
  return out + ": decided " + listOf(difference.Decided) + ", recorded " +
         listOf(entry.Decided);
}

} // namespace radishcross::trace
