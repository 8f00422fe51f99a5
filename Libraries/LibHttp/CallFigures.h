#pragma once

#include <LibBase/Metrics.h>
#include <LibCalls/CallTypes.h>
#include <LibConfig/Rank.h>

#include <array>
#include <cstdint>
#include <string>

namespace radishcross::http {

/// The metrics of calls by rank and outcome, looked up once:
/// calls_total{rank,outcome} and call_latency_ms{rank}.
class CallFigures {
public:
  explicit CallFigures(base::Metrics &metrics);

  /// Counts a call that has ended.
  void ended(config::Rank rank, calls::CallOutcome outcome,
             base::Duration latency);

private:
  struct PerRank {
    std::array<uint64_t *, std::size(calls::CallOutcomeNames)> Totals{};
    std::string LatencyName;
  };
  base::Metrics *Counters;
  std::array<PerRank, config::RankCount> Ranks;
};

} // namespace radishcross::http
