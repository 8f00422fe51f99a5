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

/// An entry whose replayed outcome differs from the recorded one.
struct Difference {
  size_t Index = 0; ///< Index of the entry in the trace, from 0.
  Entry Recorded;
  Outcome Decided{};
  std::string EventName; ///< Empty when the player has no name for it.
};

/// Result of a replay.
struct ReplayReport {
  size_t Played = 0;
  std::map<Module, size_t> NotPlayed; ///< Entries of modules without a player.
  std::optional<Difference> FirstDifference;
};

/// Replays traces through the players of decision modules.
class Replay {
public:
  /// The player of each module that has one.
  using Players = std::map<Module, std::unique_ptr<Player>>;

  /// \p makePlayers is called for each trace. It creates all players at once,
  /// since one may read the state of another.
  explicit Replay(std::function<Players()> makePlayers)
      : MakePlayers(std::move(makePlayers)) {}

  /// Replays the entries in order, up to the first difference.
  ReplayReport run(const Trace &trace) const;

private:
  std::function<Players()> MakePlayers;
};

/// Returns one line with the event, the replayed outcome and the recorded one.
std::string describeDifference(const Difference &difference);

} // namespace radishcross::trace
