#include <LibTrace/Replay.h>

#include <array>

namespace radishcross::trace {

namespace {

constexpr size_t MaxShownTextBytes = 120;

template <size_t Size>
std::string formatNumbers(const std::array<int64_t, Size> &numbers) {
  std::string out = "[";
  for (int64_t it : numbers)
    out += (out.size() > 1 ? ", " : "") + std::to_string(it);
  return out + "]";
}

} // namespace

ReplayReport Replay::run(const Trace &trace) const {
  ReplayReport report;
  auto players = MakePlayers();
  std::array<Player *, std::size(ModuleNames)> playerOf{};
  for (const auto &[source, player] : players)
    playerOf[static_cast<size_t>(source)] = player.get();
  for (size_t i = 0; i < trace.Entries.size(); ++i) {
    const auto &entry = trace.Entries[i];
    auto *player = playerOf[static_cast<size_t>(entry.Source)];
    if (!player) {
      ++report.NotPlayed[entry.Source];
      continue;
    }
    auto decided = player->play(entry);
    ++report.Played;
    if (decided == entry.Decided)
      continue;
    report.FirstDifference = Difference{
        i, entry, decided, std::string(player->eventName(entry.Event))};
    break;
  }
  return report;
}

std::string describeDifference(const Difference &difference) {
  const auto &entry = difference.Recorded;
  std::string out = "entry " + std::to_string(difference.Index + 1) + ", at " +
                    std::to_string(entry.AtMicroseconds) + " us, module " +
                    std::string(base::nameOf(ModuleNames, entry.Source)) +
                    ", event " + std::to_string(entry.Event);
  if (!difference.EventName.empty())
    out += " (" + difference.EventName + ")";
  out += " with " + formatNumbers(entry.Numbers);
  if (!entry.Text.empty())
    out += " \"" + entry.Text.substr(0, MaxShownTextBytes) + "\"";
  return out + ": decided " + formatNumbers(difference.Decided) +
         ", recorded " + formatNumbers(entry.Decided);
}

} // namespace radishcross::trace
