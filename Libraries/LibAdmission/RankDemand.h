#pragma once

#include <LibAdmission/RankScheduler.h>
#include <LibBase/Clock.h>
#include <LibConfig/Rank.h>

#include <array>

namespace radishcross::admission {

/// What the calls that arrive at one target ask for: which ranks are in demand,
/// and by which latency objectives.
class RankDemand {
public:
  /// A rank is in demand for this time after its last call arrived. Ranks in
  /// demand earn credit for their floors; lower ranks leave a slot free for
  /// them, so that an urgent call need not wait for one.
  static constexpr base::Duration Memory = std::chrono::seconds(1);

  /// Records a call that arrives; \p objective: its latency objective, 0: none.
  void arrived(config::Rank rank, base::Duration objective,
               base::TimePoint now);

  /// Records the latency objective of a call that may run or wait.
  void admissible(config::Rank rank, base::Duration objective,
                  base::TimePoint now);

  /// Returns the ranks in demand.
  RankFlags ranks(base::TimePoint now) const;

  /// Returns whether the last call of a rank had a latency objective.
  bool hasObjective(config::Rank rank) const;

  /// Returns whether calls of a rank with a shorter latency objective than \p
  /// objective (0: none) are in demand.
  bool isShorterInDemand(config::Rank rank, base::Duration objective,
                         base::TimePoint now) const;

private:
  struct Seen {
    bool HasArrived = false;
    base::TimePoint LastArrival{};
    bool HasObjective = false; ///< The last call.
    /// Shortest objective in demand (0: none yet) and the last arrival of a
    /// call with it.
    base::Duration Shortest{};
    base::TimePoint ShortestAt{};
  };
  std::array<Seen, config::RankCount> ByRank{};
};

} // namespace radishcross::admission
