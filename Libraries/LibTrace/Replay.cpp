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

/// The players of one run, made when their first entry comes.
class Stage {
public:
  explicit Stage(const std::map<Module, Replay::Factory> &factories)
      : Factories(factories) {}

  Player *find(Module source) {
    auto &player = Players[static_cast<size_t>(source)];
    if (player)
      return player.get();
    auto it = Factories.find(source);
    if (it == Factories.end())
      return nullptr;
    player = it->second();
    return player.get();
  }

private:
  const std::map<Module, Replay::Factory> &Factories;
  std::array<std::unique_ptr<Player>, std::size(ModuleNames)> Players;
};

} // namespace

ReplayReport Replay::run(const Trace &trace) const {
  ReplayReport report;
  Stage stage(Factories);
  for (size_t i = 0; i < trace.Entries.size(); ++i) {
    const auto &entry = trace.Entries[i];
    auto *player = stage.find(entry.Source);
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
