#pragma once

#include <LibTrace/Player.h>
#include <LibTrace/TraceText.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace radishcross::trace {

/// The first entry whose outcome is not the recorded one.
struct Difference {
  size_t Index = 0; ///< Of the entry in the trace, from 0.
  Entry Recorded;
  Outcome Decided{};
  std::string EventName; ///< Empty when the player gives none.
};

/// How a replay went.
struct ReplayReport {
  size_t Played = 0;
  std::map<Module, size_t> NotPlayed; ///< Entries of modules without a player.
  std::optional<Difference> FirstDifference;
};

/// Runs traces through the players of decision modules.
class Replay {
public:
  /// The player of each module that has one.
  using Players = std::map<Module, std::unique_ptr<Player>>;

  /// Each trace gets new players; \p makePlayers makes all of them at once,
  /// since one may read the state of another.
  explicit Replay(std::function<Players()> makePlayers)
      : MakePlayers(std::move(makePlayers)) {}

  /// Plays the entries in their order up to the first difference.
  ReplayReport run(const Trace &trace) const;

private:
  std::function<Players()> MakePlayers;
};

/// Returns one line that says what was decided now, what was recorded, and for
/// which event.
std::string describeDifference(const Difference &difference);

} // namespace radishcross::trace
