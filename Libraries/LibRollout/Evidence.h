#pragma once

#include <LibRollout/RolloutTypes.h>

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace radishcross::rollout {

/// Why a version is held to be bad.
struct Finding {
  std::string Route; ///< Empty: all routes together.
  Tally New;
  Tally Old;
};

/// Answers of both versions, summed over nodes, and their comparison. The whole
/// roll-out and its last seconds are compared, each route by itself and all
/// together, so that a version that turns bad late or on one route is found.
class Evidence {
public:
  /// Answers and bad answers below which nothing is concluded.
  static constexpr uint64_t LeastAnswers = 12;
  static constexpr uint64_t LeastBad = 6;
  /// Standard errors by which the shares of bad answers must differ.
  static constexpr double LeastDeviation = 4.0;
  /// Length of the recent past.
  static constexpr base::Duration Recent = std::chrono::seconds(2);

  /// Adds what \p counts says beyond the node's last report; a report that is
  /// not newer changes nothing.
  void add(const NodeCounts &counts, base::TimePoint now);

  /// Returns why the new version is bad, or nothing.
  std::optional<Finding> findFault(base::TimePoint now) const;

  /// Sums over all routes since the beginning.
  const Tally &newAnswers() const { return TotalNew; }
  const Tally &oldAnswers() const { return TotalOld; }

  /// Returns whether \p fresh is worse than \p old by more than chance.
  static bool isWorse(const Tally &fresh, const Tally &old);

private:
  struct Pair {
    Tally New;
    Tally Old;
  };
  using Routes = std::map<std::string, Pair, std::less<>>;
  struct NodeState {
    uint64_t Boot = 0;
    uint64_t Sequence = 0;
    Routes Last;
  };
  struct Bucket {
    base::TimePoint At;
    Routes Counts;
  };

  std::optional<Finding> judge(const std::string &route, const Pair &counts,
                               const Tally &oldBefore) const;
  std::optional<Finding> judgeAll(const Routes &counts) const;

  std::map<std::string, NodeState, std::less<>> Nodes;
  Routes Whole;
  std::deque<Bucket> Buckets;
  Tally TotalNew;
  Tally TotalOld;
};

} // namespace radishcross::rollout
